import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { createInterface } from "node:readline";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { call, settingsFile } from "../../platform/dist/stand_in/index.js";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "../..");

const READY_POLL_MS = 50;
const READY_TIMEOUT_MS = 20_000;

/** Returns program and arguments of the router in the deploy file. */
function routerCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const run = /^run = "(.*)"$/m.exec(text)[1];
  return run.split(" ");
}

/** A router, started as the deploy file says, with a settings file of its own. */
export class RouterProcess {
  #folder = mkdtempSync(join(tmpdir(), "anvildeal-review-"));
  #child;
  /** Log lines that the process wrote. */
  logLines = [];

  static async start(name, storeAddress, options = {}) {
    const file = await settingsFile(name, storeAddress, options);
    const router = new RouterProcess();
    router.name = name;
    router.file = file;
    router.ip = file.ip;
    router.port = file.callerPort;
    router.#spawn();
    return router;
  }

  #spawn() {
    const settingsPath = join(this.#folder, "boot.conf");
    writeFileSync(settingsPath, this.file.text);
    const [program, ...args] = routerCommand();
    this.#child = spawn(program, args, {
      cwd: ROOT,
      env: { ...process.env, ANVILDEAL_SETTINGS: settingsPath },
      stdio: ["ignore", "pipe", "inherit"],
    });
    createInterface({ input: this.#child.stdout })
      .on("line", (line) => this.logLines.push(line));
    this.ended = new Promise((resolve) => this.#child.once("exit", resolve));
  }

  /** Waits until the readiness check answers 200. */
  async untilReady() {
    const endMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < endMs) {
      const answer = await call(this.file.readyPort, "/v1/ready", {
        ip: this.ip,
      }).catch(() => undefined);
      if (answer?.status === 200) {
        return;
      }
      await sleep(READY_POLL_MS);
    }
    throw new Error(`${this.name} is not ready in time`);
  }

  get pid() {
    return this.#child.pid;
  }

  /** Whether the process has logged an event. */
  hasLogged(name) {
    return this.logLines.some((line) => JSON.parse(line).name === name);
  }

  signal(signal) {
    this.#child.kill(signal);
  }

  async dispose() {
    this.#child.kill("SIGKILL");
    await this.ended;
    rmSync(this.#folder, { recursive: true });
  }
}
