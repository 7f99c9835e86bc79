import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { afterEach, describe, expect, it } from "vitest";

/** The built entry point; `npm test` builds before it runs the tests. */
const MAIN = fileURLToPath(
  new URL("../dist/stand_in_main.js", import.meta.url),
);

interface ReadyLine {
  ready: boolean;
  url: string;
  control_url: string;
}

const children: ChildProcess[] = [];
afterEach(() => children.forEach((child) => child.kill("SIGKILL")));

function run(...args: string[]): ChildProcess {
  const child = spawn(process.execPath, [MAIN, ...args], {
    stdio: ["ignore", "pipe", "ignore"],
  });
  children.push(child);
  return child;
}

async function readReady(child: ChildProcess): Promise<ReadyLine> {
  if (!child.stdout) {
    throw new Error("The child process has no standard output");
  }
  const [line] = await once(createInterface(child.stdout), "line");
  return JSON.parse(String(line)) as ReadyLine;
}

describe("stand_in_main", () => {
  const kinds = [
    ["object-api"],
    ["instance-list", "--lag-ms", "5"],
    ["plain-service", "--delay-ms", "1"],
    ["weight-store", "--blob", "model-a=1000"],
    ["tcp-proxy", "--target-port", "9"],
    ["model-engine", "--max-batch", "2", "--checks-fencing", "false"],
  ];

  it.each(kinds)(
    "serves %s and exits with code 0 on SIGTERM",
    async (...args) => {
      const child = run(...args);
      const ready = await readReady(child);
      expect(ready.ready).toBe(true);
      const response = await fetch(`${ready.control_url}/faults`, {
        method: "POST",
        body: "{}",
      });
      expect(response.status).toBe(200);
      child.kill("SIGTERM");
      expect(await once(child, "exit")).toEqual([0, null]);
    },
  );

  it("exits with an error for an unknown kind or option", async () => {
    expect(await once(run("unknown"), "exit")).toEqual([1, null]);
    expect(await once(run("object-api", "--x", "1"), "exit")).toEqual([
      1,
      null,
    ]);
  });
});
