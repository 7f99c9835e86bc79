import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { afterEach, beforeEach, describe, expect, it } from "vitest";

const DAEMON = fileURLToPath(new URL("../bin/anvildeald.js", import.meta.url));

const SETTINGS = `
role = "router"

[node]
id = "router-1"
failure_domain = "zone-1"
listen_host = "127.0.0.1"
peer_port = 0
metrics_port = 0
fleet_key = "a secret of the fleet"

[platform]
object_api_url = "http://127.0.0.1:1"
instance_list_url = "http://127.0.0.1:1"

[router]
http_port = 0
admin_port = 0
`;

describe("a daemon", () => {
  let folder: string;
  let child: ChildProcess;
  let log: string;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), "anvildeald-"));
    const path = join(folder, "router.toml");
    writeFileSync(path, SETTINGS);
    log = "";
    child = spawn(process.execPath, [DAEMON, path], {
      stdio: ["ignore", "ignore", "pipe"],
    });
  });

  afterEach(() => {
    child.kill("SIGKILL");
    rmSync(folder, { recursive: true });
  });

  // Guards against a stop that ends a process whose port is open, but which has not
  // answered what callers have sent: the signal's default action ends a process.
  it("stops in order after SIGTERM before it has started", async () => {
    const ended = once(child, "close");
    child.stderr!.on("data", (data) => {
      log += data;
      if (log.includes("process_started")) {
        child.kill("SIGTERM");
      }
    });
    expect(await ended).toEqual([0, null]);
    expect(log).toContain("process_stopped");
  });
});
