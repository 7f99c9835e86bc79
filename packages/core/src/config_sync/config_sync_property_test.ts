import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { Message } from "../wire/messages.js";
import { ACTIVE_KEY, sectionKey, versionKey } from "./config_sync_objects.js";
import { contentOf, testDigest } from "./config_sync_test_bundles.js";
import {
  type ConfigSyncEffect,
  type ConfigSyncEvent,
  type ConfigSyncState,
  createConfigSyncState,
  reduceConfigSync,
  type VersionedValue,
  versionInForce,
} from "./index.js";

const SEED = 20_261_203;
const TICK_MS = 250;
/** One minute, enough for the retry, staleness and watch delays in sequence. */
const SETTLE_TICKS = 240;
/** Added to the weight in an unaccepted bundle, so that its content differs. */
const UNACCEPTED_WEIGHT_OFFSET = 500;

type EventInput = ConfigSyncEvent extends infer E
  ? E extends ConfigSyncEvent ? Omit<E, "nowMs"> : never
  : never;

interface Delivery {
  readonly receiverId: string;
  /**
   * Incarnation of the process that made the store call; 0 for peer messages.
   */
  readonly incarnation: number;
  readonly input: EventInput;
}

interface Watch {
  readonly watchId: number;
  readonly afterVersion: number;
  readonly timeoutAtMs: number;
}

interface Process {
  readonly id: string;
  readonly role: "router" | "sidecar";
  state: ConfigSyncState;
  incarnation: number;
  paused: boolean;
}

/** Simulates three routers, a sidecar, the store and the network. */
class Fleet {
  readonly processes: Process[] = [];
  readonly deliveries: Delivery[] = [];
  readonly objects = new Map<string, VersionedValue>();
  readonly watches = new Map<string, Watch>();
  nowMs = 0;
  storeUp = true;
  acceptedVersion = 0;

  constructor(seed: number) {
    for (const id of ["r0", "r1", "r2", "s0"]) {
      const role = id.startsWith("r") ? "router" : "sidecar";
      const state = this.#newState(role, seed);
      this.processes.push({ id, role, state, incarnation: 0, paused: false });
    }
    this.processes.forEach((process) => this.restart(process, seed));
  }

  /** Highest version in force in any process. */
  get highestVersion(): number {
    return Math.max(
      ...this.processes.map(({ state }) => versionInForce(state)),
    );
  }

  acceptNextVersion(): void {
    if (!this.storeUp || this.acceptedVersion >= 90) {
      return;
    }
    this.acceptedVersion++;
    this.#writeVersion(this.acceptedVersion, this.acceptedVersion);
    const { digest } = contentOf(this.acceptedVersion);
    const version = this.acceptedVersion;
    this.objects.set(ACTIVE_KEY, { version, value: { version, digest } });
    for (const process of this.processes) {
      this.#answerWatch(process);
    }
  }

  /** Simulates an interrupted activation: a version without a new pointer. */
  writeUnaccepted(): void {
    if (this.storeUp) {
      this.#writeVersion(
        this.acceptedVersion + 1,
        this.acceptedVersion + 1 + UNACCEPTED_WEIGHT_OFFSET,
      );
    }
  }

  setStoreUp(storeUp: boolean): void {
    this.storeUp = storeUp;
    for (const process of this.processes) {
      const watch = this.watches.get(process.id);
      if (!storeUp && watch !== undefined) {
        this.watches.delete(process.id);
        const { watchId } = watch;
        this.#enqueue(process, { type: "watch_failed", watchId });
      }
    }
  }

  restart(process: Process, seed: number): void {
    process.incarnation++;
    process.paused = false;
    process.state = this.#newState(process.role, seed + process.incarnation);
    this.watches.delete(process.id);
    const seedPeerIds = this.#peersOf(process);
    this.#handle(process, { type: "started", seedPeerIds });
    if (process.id !== "r2" && process.role === "router") {
      this.#handle(process, { type: "election_changed", elected: true });
    }
  }

  tick(process: Process): void {
    const watch = this.watches.get(process.id);
    if (watch !== undefined && this.nowMs >= watch.timeoutAtMs) {
      this.watches.delete(process.id);
      const { watchId } = watch;
      const input = { type: "watch_returned", watchId, object: undefined };
      this.#enqueue(process, input as EventInput);
    }
    if (!process.paused) {
      const peerIds = this.#peersOf(process);
      this.#handle(process, { type: "tick", peerIds });
    }
  }

  deliver(index: number, keepDelivery: boolean): void {
    const delivery =
      this.deliveries[index % Math.max(1, this.deliveries.length)];
    if (delivery === undefined) {
      return;
    }
    const process = this.processes.find((item) =>
      item.id === delivery.receiverId
    )!;
    if (process.paused) {
      return;
    }
    if (!keepDelivery) {
      this.deliveries.splice(this.deliveries.indexOf(delivery), 1);
    }
    if ([0, process.incarnation].includes(delivery.incarnation)) {
      this.#handle(process, delivery.input);
    }
  }

  /** Simulates a probe and its reply, which carry configuration versions. */
  probe(index: number): void {
    const router = this.processes[index % 3]!;
    const sidecar = this.processes[3]!;
    for (const [from, to] of [[router, sidecar], [sidecar, router]] as const) {
      if (!from.paused) {
        const configVersion = versionInForce(from.state);
        const peerId = from.id;
        const input = {
          type: "peer_version_observed",
          peerId,
          configVersion,
        } as const;
        this.deliveries.push({ receiverId: to.id, incarnation: 0, input });
      }
    }
  }

  /** Ends the faults; messages then arrive in order and none is lost. */
  settle(storeUp: boolean): void {
    this.setStoreUp(storeUp);
    this.processes.forEach((process) => process.paused = false);
    const isSettled = () =>
      this.processes.every(({ state }) =>
        versionInForce(state) ===
          (storeUp ? this.acceptedVersion : this.highestVersion)
      );
    for (let i = 0; i < SETTLE_TICKS && !isSettled(); i++) {
      this.nowMs += TICK_MS;
      this.processes.forEach((process) => this.tick(process));
      this.probe(i);
      for (let n = 0; n < 500 && this.deliveries.length > 0; n++) {
        this.deliver(0, false);
      }
    }
  }

  #newState(role: "router" | "sidecar", seed: number): ConfigSyncState {
    const watchMode = "elected";
    return createConfigSyncState({ role, seed, digest: testDigest, watchMode });
  }

  #peersOf(process: Process): string[] {
    return this.processes.map((item) => item.id).filter((id) =>
      id !== process.id && id.startsWith("r")
    );
  }

  #writeVersion(version: number, weight: number): void {
    const { manifest, sections } = contentOf(weight);
    const key = versionKey(version);
    const previousStoreVersion = this.objects.get(key)?.version ?? 0;
    const value = { version, manifest };
    this.objects.set(key, { version: previousStoreVersion + 1, value });
    for (const [name, content] of Object.entries(sections)) {
      this.objects.set(sectionKey(name), { version: 1, value: content });
    }
  }

  #handle(process: Process, input: EventInput): void {
    const event = { ...input, nowMs: this.nowMs } as ConfigSyncEvent;
    let previousVersion = versionInForce(process.state);
    for (const effect of reduceConfigSync(process.state, event)) {
      if (effect.type === "apply") {
        expect(effect.version).toBeGreaterThan(previousVersion);
        expect(effect.version).toBeLessThanOrEqual(this.acceptedVersion);
        expect(effect.bundle).toEqual(contentOf(effect.version).bundle);
        previousVersion = effect.version;
      }
      this.#runEffect(process, effect);
    }
    expect(versionInForce(process.state)).toBe(previousVersion);
  }

  #runEffect(process: Process, effect: ConfigSyncEffect): void {
    if (effect.type === "send") {
      const message = structuredClone(effect.message) as Message & {
        type: "config_query" | "config_state";
      };
      const input = {
        type: "message_received",
        peerId: process.id,
        message,
      } as const;
      this.deliveries.push({
        receiverId: effect.peerId,
        incarnation: 0,
        input,
      });
    } else if (effect.type === "read_objects") {
      this.#enqueue(
        process,
        this.#readFromStore(effect.requestId, effect.keys),
      );
    } else if (effect.type === "start_watch") {
      const { watchId, afterVersion } = effect;
      const timeoutAtMs = this.nowMs + effect.timeoutMs;
      if (this.storeUp) {
        this.watches.set(process.id, { watchId, afterVersion, timeoutAtMs });
        this.#answerWatch(process);
      } else {
        this.#enqueue(process, { type: "watch_failed", watchId });
      }
    } else if (effect.type === "stop_watch") {
      this.watches.delete(process.id);
    }
  }

  #readFromStore(requestId: number, keys: readonly string[]): EventInput {
    if (!this.storeUp) {
      return { type: "read_failed", requestId };
    }
    const found = keys.flatMap((key) => {
      const object = this.objects.get(key);
      return object === undefined ? [] : [[key, object] as const];
    });
    return { type: "objects_read", requestId, objects: new Map(found) };
  }

  #answerWatch(process: Process): void {
    const watch = this.watches.get(process.id);
    const object = this.objects.get(ACTIVE_KEY);
    if (watch && object && object.version > watch.afterVersion) {
      this.watches.delete(process.id);
      const { watchId } = watch;
      this.#enqueue(process, { type: "watch_returned", watchId, object });
    }
  }

  #enqueue(process: Process, input: EventInput): void {
    const { id: receiverId, incarnation } = process;
    this.deliveries.push({ receiverId, incarnation, input });
  }
}

const operations = "deliver ".repeat(20) + "tick ".repeat(8) +
  "accept ".repeat(4) +
  "probe ".repeat(4) + "repeat ".repeat(3) + "drop ".repeat(3) +
  "unaccepted unaccepted store store pause pause restart restart";
const step = fc.record({
  op: fc.constantFrom(...operations.split(" ")),
  index: fc.nat({ max: 40 }),
});

function applyStep(
  fleet: Fleet,
  { op, index: i }: { op: string; index: number },
) {
  const process = fleet.processes[i % fleet.processes.length]!;
  switch (op) {
    case "deliver":
      return fleet.deliver(i, false);
    case "repeat":
      return fleet.deliver(i, true);
    case "drop":
      return void fleet.deliveries.splice(i, 1);
    case "tick":
      fleet.nowMs += TICK_MS * (1 + (i % 8));
      return fleet.processes.forEach((item) => fleet.tick(item));
    case "accept":
      return fleet.acceptNextVersion();
    case "probe":
      return fleet.probe(i);
    case "unaccepted":
      return fleet.writeUnaccepted();
    case "store":
      return fleet.setStoreUp(!fleet.storeUp);
    case "pause":
      process.paused = !process.paused;
      return;
    case "restart":
      return fleet.restart(process, i);
  }
}

describe("reduceConfigSync in a fleet", () => {
  const run = (storeUpAtEnd: boolean) =>
    fc.property(
      fc.nat({ max: 1000 }),
      fc.array(step, { minLength: 20, maxLength: 150, size: "max" }),
      (seed, steps) => {
        const fleet = new Fleet(seed);
        steps.forEach((item) => applyStep(fleet, item));
        fleet.settle(storeUpAtEnd);
        const versions = fleet.processes.map(({ state }) =>
          versionInForce(state)
        );
        const newest = storeUpAtEnd
          ? fleet.acceptedVersion
          : fleet.highestVersion;
        expect(versions).toEqual(versions.map(() => newest));
      },
    );

  // `#handle` also checks that no `apply` lowers the version or applies a bundle
  // other than the one accepted under that version number.
  it("converges on the accepted version once the store answers", () => {
    fc.assert(run(true), { seed: SEED, numRuns: 300, endOnFailure: true });
  });

  it("converges on the highest version in force while the store is down", () => {
    fc.assert(run(false), { seed: SEED, numRuns: 300, endOnFailure: true });
  });
});
