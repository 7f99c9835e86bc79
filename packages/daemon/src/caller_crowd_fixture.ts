import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import {
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { connect, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { authorization, callService, chat } from "./fault_caller_fixture.js";
import {
  type FaultFleet,
  FLEET_KEY,
  sleep,
  waitUntil,
} from "./fault_fixture.js";

const DAEMON = fileURLToPath(new URL("../bin/anvildeald.js", import.meta.url));

const KIB = 1024;

/** Heap of the router, so that many small objects end it as they would a large one. */
const HEAP_MB = 128;

/** Body limit of the router. */
export const MAX_BODY_BYTES = 2048 * KIB;

/** Bound of the router's connections; each crowd has fewer. */
const MAX_CALLER_CONNECTIONS = 200;

/** Longer than a crowd takes, so that no time limit of the router disperses it. */
const BODY_TIMEOUT_MS = 60_000;

/** Time for a crowd to send what the router takes; it may stop reading. */
const MAX_SENDING_MS = 10_000;

/** Parts of this size are written at a time, each after the one before. */
const WRITE_BYTES = 256 * KIB;

/** The router has handled what it has received if it uses little of this interval. */
const IDLE_INTERVAL_MS = 400;
const MAX_IDLE_CPU_TICKS = 5;
const MAX_IDLE_CHECKS = 40;

/** Ports of a router that a crowd can be at. */
export type Port = "callers" | "administration" | "metrics";

/** What each connection of a crowd sends; it reads no answers. */
export interface Crowd {
  readonly connections: number;
  readonly port: Port;
  readonly head: string;
  /** Sent `times` after the head. */
  readonly part: string | Buffer;
  readonly times: number;
  /** Pause after each part; the parts are joined if it is 0. */
  readonly pauseMs?: number;
}

/** A router in a process of its own, in a fleet of stand-ins. */
export class CrowdedRouter {
  readonly #fleet: FaultFleet;
  readonly #folder = mkdtempSync(join(tmpdir(), "crowded-router-"));
  #child!: ChildProcess;
  #urls!: Record<Port, string>;
  #stderr = "";

  constructor(fleet: FaultFleet) {
    this.#fleet = fleet;
  }

  async start(): Promise<void> {
    const path = join(this.#folder, "router.toml");
    writeFileSync(path, this.#settings());
    this.#child = spawn(
      process.execPath,
      [`--max-old-space-size=${HEAP_MB}`, DAEMON, path],
      { stdio: ["ignore", "pipe", "pipe"] },
    );
    this.#child.stderr!.on("data", (data) => {
      this.#stderr = (this.#stderr + data).slice(-2000);
    });
    const [line] = await once(this.#child.stdout!, "data") as [Buffer];
    const urls = JSON.parse(line.toString()) as Record<string, string>;
    this.#urls = {
      callers: urls.http_url!,
      administration: urls.admin_url!,
      metrics: urls.metrics_url!,
    };
    await this.serveOrdinaryCaller();
  }

  async stop(): Promise<void> {
    if (this.isAlive) {
      const ended = once(this.#child, "exit");
      this.#child.kill("SIGKILL");
      await ended;
    }
    rmSync(this.#folder, { recursive: true });
  }

  get isAlive(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Last lines of the log, for the message of a test that fails. */
  get logTail(): string {
    return this.#stderr;
  }

  /** Largest resident memory since the start, in MiB; 0 if the process has ended. */
  get peakMemoryMb(): number {
    if (!this.isAlive) {
      return 0;
    }
    const status = readFileSync(`/proc/${this.#child.pid}/status`, "utf8");
    return Number(/VmHWM:\s+(\d+)/.exec(status)![1]) / KIB;
  }

  /** Number of open descriptors. */
  get descriptorCount(): number {
    return readdirSync(`/proc/${this.#child.pid}/fd`).length;
  }

  /** Resolves when a chat and a service call with a valid key are answered. */
  async serveOrdinaryCaller(): Promise<void> {
    const url = this.#urls.callers;
    const serves = async () =>
      (await chat(url, "ordinary", 2)).status === 200 &&
      (await callService(url, { method: "GET" })).status === 200;
    await waitUntil(
      "an ordinary caller is served",
      () => serves().catch(() => !this.isAlive),
    );
  }

  /**
   * Resolves to the connections of crowds that come at once when they have sent
   * everything, or what the router takes, and the router has handled it.
   */
  async gather(crowds: readonly Crowd[]): Promise<Socket[]> {
    const sockets: Socket[] = [];
    const sending = crowds.flatMap((crowd) =>
      Array.from({ length: crowd.connections }, () => {
        const { hostname, port } = new URL(this.#urls[crowd.port]);
        const socket = connect(Number(port), hostname);
        sockets.push(socket);
        return sendAll(socket, crowd);
      })
    );
    await Promise.race([Promise.all(sending), sleep(MAX_SENDING_MS)]);
    await this.#untilIdle();
    return sockets;
  }

  async #untilIdle(): Promise<void> {
    for (let check = 0; check < MAX_IDLE_CHECKS && this.isAlive; check++) {
      const ticks = this.#cpuTicks();
      await sleep(IDLE_INTERVAL_MS);
      if (this.#cpuTicks() - ticks < MAX_IDLE_CPU_TICKS) {
        return;
      }
    }
  }

  /** Processor time of the router so far, in ticks of 10 ms. */
  #cpuTicks(): number {
    const stat = readFileSync(`/proc/${this.#child.pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")")).split(" ");
    return Number(fields[12]) + Number(fields[13]);
  }

  #settings(): string {
    return `
role = "router"

[node]
id = "crowded"
failure_domain = "a"
peer_port = 0
fleet_key = "${FLEET_KEY}"
log_level = "error"

[platform]
object_api_url = "${this.#fleet.objectApi.url}"
instance_list_url = "${this.#fleet.instanceList.url}"

[router]
http_port = 0
admin_port = 0
max_body_bytes = ${MAX_BODY_BYTES}
max_caller_connections = ${MAX_CALLER_CONNECTIONS}
body_timeout_ms = ${BODY_TIMEOUT_MS}
`;
  }
}

/** Head of a chat request with a valid key and the given header lines. */
export function chatHead(...lines: string[]): string {
  return headOf(`authorization: ${authorization().authorization}`, ...lines);
}

/** Head of a chat request without a key. */
export function headOf(...lines: string[]): string {
  return [
    "POST /v1/chat/completions HTTP/1.1",
    "host: router",
    "content-type: application/json",
    ...lines,
    "\r\n",
  ].join("\r\n");
}

/** One chunk of a chunked body. */
export function chunk(bytes: number): string {
  return `${bytes.toString(16)}\r\n${" ".repeat(bytes)}\r\n`;
}

/** Sends the head and the parts; resolves at the end or if the connection ends. */
async function sendAll(
  socket: Socket,
  { head, part, times, pauseMs = 0 }: Crowd,
): Promise<void> {
  socket.pause();
  const closed = new Promise<void>((resolve) => {
    socket.on("error", () => resolve());
    socket.on("close", () => resolve());
  });
  const write = (data: string | Buffer) =>
    Promise.race([
      closed,
      new Promise<void>((resolve) => socket.write(data, () => resolve())),
    ]);
  await write(head);
  const bytes = Buffer.from(part);
  const joinedCount = pauseMs > 0
    ? 1
    : Math.max(1, Math.floor(WRITE_BYTES / bytes.length));
  const joined = Buffer.concat(
    Array.from({ length: joinedCount }, () => bytes),
  );
  for (let sent = 0; sent < times && !socket.destroyed; sent += joinedCount) {
    const left = Math.min(joinedCount, times - sent);
    await write(joined.subarray(0, left * bytes.length));
    if (pauseMs > 0) {
      await sleep(pauseMs);
    }
  }
}
