import { execFileSync } from "node:child_process";
import { fileURLToPath } from "node:url";
import { describe, expect, it } from "vitest";

const ROOT = fileURLToPath(new URL("../../..", import.meta.url));

// npm links only files that exist when it installs, so a command whose file is
// created by the build is missing after a clean install.
describe("commands after a clean install", () => {
  for (const name of ["anvildeal", "anvildeald"]) {
    it(`${name} is linked and prints its help`, () => {
      const help = execFileSync("npx", ["--no-install", name, "--help"], {
        cwd: ROOT,
        encoding: "utf8",
      });
      expect(help).toContain(name);
      expect(help).toContain("Usage");
    });

    it(`${name} is linked to a file that the build does not create`, () => {
      const files = execFileSync("git", ["ls-files", "packages/*/bin/*"], {
        cwd: ROOT,
        encoding: "utf8",
      });
      expect(files).toContain(`/bin/${name}.js\n`);
    });
  }
});
