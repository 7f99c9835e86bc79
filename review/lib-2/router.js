// Starts routers as processes of their own, with the command of the deploy file.

import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";

const ROOT = new URL("../..", import.meta.url).pathname;
const POLL_INTERVAL_MS = 20;
const MAX_POLLS = 1000;

/** Bounds of a small deployment. */
const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  contact_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  rollback_slack_ms: 250,
  outer_ms: 5000,
  revoke_fail_closed: false,
  revoke_ms: 5000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  budget_extra: 56,
  recovery_s: 12,
  pass_ms: 120,
  again_s: 10,
  cap_x: 2,
};

/** Program and arguments of the role that serves callers. */
export function routerCommand() {
  const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
}

/** Returns ports that are free at an address. */
export async function freePorts(host, count) {
  const servers = await Promise.all(
    Array.from({ length: count }, () =>
      new Promise((resolve) => {
        const server = createServer();
        server.listen(0, host, () => resolve(server));
      })),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

/** A router in a process of its own. */
export class Router {
  #folder = mkdtempSync(join(tmpdir(), "anvildeal-review-"));
  #child;
  #exited;
  #limits;
  exitCode;
  log = "";

  /**
   * @param seedIps Addresses of the fleet's first routers.
   * @param internalPorts The same on all machines.
   */
  constructor(name, ip, ports, storeAddress, options = {}) {
    this.name = name;
    this.ip = ip;
    [this.frontPort, this.readyPort, this.controlPort] = ports.listen;
    this.internalPorts = ports.internal;
    this.storeAddress = storeAddress;
    this.zone = options.zone ?? "z1";
    this.seedIps = options.seedIps ?? [ip];
    this.#limits = {
      cpu_share: 0.513,
      cores: 1,
      memory_mb: 350,
      max_fds: 4100,
      link_mbps: "1000.0",
      disk_mb: 0,
      ...options.limits,
    };
    this.bounds = { ...BOUNDS, ...options.bounds };
  }

  static async ports(ip = "127.0.0.1") {
    const [a, b, c, d, e] = await freePorts(ip, 5);
    return { listen: [a, b, c], internal: [d, e] };
  }

  get pid() {
    return this.#child.pid;
  }

  start() {
    const path = join(this.#folder, "boot.conf");
    writeFileSync(path, this.#settings());
    const [program, ...args] = routerCommand();
    this.exitCode = undefined;
    this.#child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        ANVILDEAL_SETTINGS: path,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const keep = (chunk) => this.log += chunk;
    this.#child.stdout.on("data", keep);
    this.#child.stderr.on("data", keep);
    this.#exited = new Promise((resolve) =>
      this.#child.once("exit", (code, signal) => {
        this.exitCode = signal ?? code;
        resolve();
      })
    );
  }

  signal(name) {
    this.#child.kill(name);
  }

  exited() {
    return this.#exited;
  }

  async stop() {
    if (this.#child && this.exitCode === undefined) {
      this.#child.kill("SIGKILL");
      await this.#exited;
    }
    rmSync(this.#folder, { recursive: true, force: true });
  }

  /** Waits until the path that says ready is answered with 200. */
  async untilReady() {
    for (let i = 0; i < MAX_POLLS; i++) {
      if (await this.#isReady()) {
        return;
      }
      await sleep(POLL_INTERVAL_MS);
    }
    throw new Error(`router ${this.name} is not ready`);
  }

  #isReady() {
    return new Promise((resolve) => {
      const socket = connect(this.readyPort, this.ip);
      socket.on("error", () => resolve(false));
      socket.on("close", () => resolve(false));
      socket.once("data", (data) => {
        resolve(data.toString().startsWith("HTTP/1.1 200"));
        socket.destroy();
      });
      socket.write(
        "GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n",
      );
    });
  }

  #settings() {
    const { ip } = this;
    return [
      `node_name=${this.name}`,
      "role=router",
      "machine_class=edge",
      "serves=edge,control_plane",
      `ip=${ip}`,
      `zone=${this.zone}`,
      "region=r1",
      "zones.z1=r1",
      "zones.z2=r1",
      "zones.z3=r1",
      `listen.front=${ip}:${this.frontPort}`,
      `listen.ready=${ip}:${this.readyPort}`,
      `listen.control=${ip}:${this.controlPort}`,
      `internal_ports=${this.internalPorts.join(",")}`,
      `seeds=${
        this.seedIps.map((seed) => `${seed}:${this.controlPort}`).join(",")
      }`,
      "first_start=true",
      "loss_counts=false",
      ...lines("limits", this.#limits),
      "discovery=platform",
      "entry=vip",
      "heartbeat_ms=1200",
      "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
      "fault_tolerance.machines=1",
      "fault_tolerance.zones=0",
      "fault_tolerance.regions=0",
      ...lines("bounds", this.bounds),
      `provider.address=${this.storeAddress}`,
      "provider.form=objects",
      "provider.writes_per_s=400",
      "provider.reads_per_s=2000",
      "provider.history_s=20",
      "provider.value_bytes=1048576",
      "provider.ttl_min_ms=1000",
      "",
    ].join("\n");
  }
}

function lines(prefix, values) {
  return Object.entries(values).map(([key, value]) =>
    `${prefix}.${key}=${value}`
  );
}
