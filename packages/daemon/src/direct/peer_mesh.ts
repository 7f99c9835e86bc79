import {
  type Clock,
  type KnownRouter,
  type Message,
  type MessageOf,
  type Millis,
  rankByRendezvous,
} from "@anvildeal/core";
import {
  type Disposable,
  Emitter,
  type PeerConnection,
  type PeerConnectionOptions,
  PeerDialer,
  type PeerIdentity,
  PeerServer,
  seedPeerId,
  TrafficMeter,
} from "../net/index.js";

/** Routers that this one connects to; larger fleets pass news on. */
const FANOUT = 32;

/** The router with the higher id dials as well after this time. */
const DIAL_BACK_MS: Millis = 2000;

/** A router that nobody has heard for this long is forgotten. */
const FORGET_AFTER_MS: Millis = 12_000;

/** A connection without a message for this long is closed. */
const SILENCE_MS: Millis = 2500;

/** Pause between attempts to reach a router. */
const REDIAL_MS: Millis = 700;

const MAX_TOLD_ROUTERS = 32;

interface MeshRouter {
  address: string;
  incarnation: number;
  heardMs: Millis;
  readonly learnedMs: Millis;
}

export interface MeshMessage {
  readonly nodeId: string;
  readonly message: Message;
}

export interface PeerMeshOptions {
  readonly identity: PeerIdentity;
  /** Own address, as others reach it. */
  readonly address: string;
  readonly clock: Clock;
  /** Called before a connection closes because of what the peer sent. */
  readonly onRejected?: PeerConnectionOptions["onRejected"];
}

/**
 * Connections of a router to some others of its fleet. They are found through
 * seed addresses and through each other.
 */
export class PeerMesh implements Disposable {
  readonly #options: PeerMeshOptions;
  readonly #meter = new TrafficMeter();
  readonly #server: PeerServer;
  readonly #dialer: PeerDialer;
  readonly #routers = new Map<string, MeshRouter>();
  /** Routers behind the connections that others opened. */
  readonly #accepted = new Map<PeerConnection, string>();
  /** Routers behind the connections that this one opened, by dialled id. */
  readonly #dialed = new Map<string, string>();
  readonly #dialedMs = new Map<string, Millis>();
  /** When a connected router was last heard, on whichever connection. */
  readonly #heardMs = new Map<string, Millis>();
  readonly #onMessage = new Emitter<MeshMessage>();
  readonly #onPeer = new Emitter<{ nodeId: string; connected: boolean }>();
  readonly #connected = new Set<string>();
  #seeds: readonly string[] = [];

  readonly onMessage = this.#onMessage.event;
  /** Fires when a router can be reached, or no longer. */
  readonly onPeer = this.#onPeer.event;

  constructor(options: PeerMeshOptions) {
    this.#options = options;
    const connectionOptions = (): PeerConnectionOptions => ({
      identity: options.identity,
      configVersion: 0,
      meter: this.#meter,
      ...(options.onRejected ? { onRejected: options.onRejected } : {}),
    });
    this.#server = new PeerServer(connectionOptions);
    this.#dialer = new PeerDialer(connectionOptions);
    this.#server.onConnection((connection) => this.#accept(connection));
    this.#dialer.onReady(({ peerId, hello }) => {
      this.#dialed.set(peerId, hello.nodeId);
      this.#noteConnection(hello.nodeId);
    });
    this.#dialer.onMessage(({ peerId, message }) => {
      const nodeId = this.#dialed.get(peerId);
      if (nodeId !== undefined) {
        this.#receive(nodeId, message);
      }
    });
    this.#dialer.onClose(({ peerId }) => {
      this.#dialed.delete(peerId);
      this.#updateConnected();
    });
  }

  get meter(): TrafficMeter {
    return this.#meter;
  }

  /** Routers of the fleet that were heard of lately, this one included. */
  get routerCount(): number {
    return this.#routers.size + 1;
  }

  /** Whether this router's id sorts before those of all it knows. */
  get isFirst(): boolean {
    const own = this.#options.identity.nodeId;
    return [...this.#routers.keys()].every((nodeId) => own < nodeId);
  }

  /** Routers that this one is connected to. */
  get connectedCount(): number {
    return this.#connected.size;
  }

  listen(host: string, port: number): Promise<number> {
    return this.#server.listen(host, port);
  }

  setSeeds(addresses: readonly string[]): void {
    this.#seeds = addresses.filter((address) =>
      address !== this.#options.address
    );
  }

  /** Sends to all connected routers, once to each. */
  broadcast(message: Message): void {
    for (const nodeId of this.#connected) {
      this.sendTo(nodeId, message);
    }
  }

  /** Sends to one connected router; does nothing when it is not connected. */
  sendTo(nodeId: string, message: Message): void {
    const peerId = keyOf(this.#dialed, nodeId);
    const connection = keyOf(this.#accepted, nodeId);
    if (peerId !== undefined && (this.#dials(nodeId) || !connection)) {
      this.#dialer.send(peerId, "", message);
    } else {
      connection?.send(message);
    }
  }

  /** Routers to tell others about, the freshest first. */
  knownRouters(): KnownRouter[] {
    const nowMs = this.#nowMs();
    const others = [...this.#routers].map(([nodeId, router]) => ({
      nodeId,
      address: router.address,
      incarnation: router.incarnation,
      ageMs: Math.round(nowMs - router.heardMs),
    })).sort((a, b) => a.ageMs - b.ageMs);
    return [this.ownEntry(), ...others].slice(0, MAX_TOLD_ROUTERS);
  }

  ownEntry(): KnownRouter {
    const { address, identity: { incarnation, nodeId } } = this.#options;
    return { nodeId, address, incarnation, ageMs: 0 };
  }

  /** Takes over what another router knows of the fleet. */
  learn(routers: MessageOf<"fleet_state">["routers"]): void {
    const nowMs = this.#nowMs();
    for (const { nodeId, address, incarnation, ageMs } of routers) {
      if (nodeId === this.#options.identity.nodeId) {
        continue;
      }
      const heardMs = nowMs - ageMs;
      const known = this.#routers.get(nodeId);
      if (ageMs < FORGET_AFTER_MS && (!known || heardMs > known.heardMs)) {
        const learnedMs = known?.learnedMs ?? nowMs;
        this.#routers.set(nodeId, {
          address,
          incarnation,
          heardMs,
          learnedMs,
        });
      }
    }
  }

  /** Opens missing connections and closes silent ones. */
  maintain(): void {
    const nowMs = this.#nowMs();
    for (const [nodeId, router] of this.#routers) {
      if (nowMs - router.heardMs > FORGET_AFTER_MS) {
        this.#routers.delete(nodeId);
      }
    }
    for (const nodeId of [...this.#connected]) {
      if (nowMs - (this.#heardMs.get(nodeId) ?? nowMs) > SILENCE_MS) {
        this.#close(nodeId);
      }
    }
    this.#updateConnected();
    this.#dialMissing(nowMs);
  }

  dispose(): void {
    this.#server.dispose();
    this.#dialer.dispose();
    this.#onMessage.dispose();
    this.#onPeer.dispose();
  }

  #dialMissing(nowMs: Millis): void {
    const ownId = this.#options.identity.nodeId;
    const chosen = rankByRendezvous(ownId, [...this.#routers.keys()], FANOUT);
    for (const nodeId of chosen) {
      const router = this.#routers.get(nodeId);
      if (!router || this.#connected.has(nodeId)) {
        continue;
      }
      if (this.#dials(nodeId) || nowMs - router.learnedMs > DIAL_BACK_MS) {
        this.#dial(nodeId, router.address, nowMs);
      }
    }
    if (this.#connected.size > 0) {
      return;
    }
    for (const address of this.#seeds) {
      this.#dial(seedPeerId(address), address, nowMs);
    }
  }

  #dial(peerId: string, address: string, nowMs: Millis): void {
    const lastMs = this.#dialedMs.get(peerId);
    if (lastMs !== undefined && nowMs - lastMs < REDIAL_MS) {
      return;
    }
    this.#dialedMs.set(peerId, nowMs);
    this.#dialer.close(peerId);
    this.#dialer.send(peerId, address, {
      type: "fleet_query",
      configVersion: 0,
      directoryRevision: 0,
    });
  }

  #accept(connection: PeerConnection): void {
    connection.onReady((hello) => {
      this.#accepted.set(connection, hello.nodeId);
      this.#noteConnection(hello.nodeId);
    });
    connection.onMessage((message) => {
      const nodeId = this.#accepted.get(connection);
      if (nodeId !== undefined) {
        this.#receive(nodeId, message);
      }
    });
    connection.onClose(() => {
      this.#accepted.delete(connection);
      this.#updateConnected();
    });
  }

  /** Of two connections between the same routers, one is used. */
  #dials(nodeId: string): boolean {
    return this.#options.identity.nodeId < nodeId;
  }

  #noteConnection(nodeId: string): void {
    this.#heardMs.set(nodeId, this.#nowMs());
    this.#updateConnected();
  }

  #close(nodeId: string): void {
    for (const [peerId, id] of [...this.#dialed]) {
      if (id === nodeId) {
        this.#dialer.close(peerId);
        this.#dialed.delete(peerId);
      }
    }
    for (const [connection, id] of [...this.#accepted]) {
      if (id === nodeId) {
        connection.close("silent");
      }
    }
  }

  #receive(nodeId: string, message: Message): void {
    if (nodeId === this.#options.identity.nodeId) {
      return;
    }
    this.#heardMs.set(nodeId, this.#nowMs());
    const known = this.#routers.get(nodeId);
    if (known) {
      known.heardMs = this.#nowMs();
    }
    this.#onMessage.fire({ nodeId, message });
  }

  #updateConnected(): void {
    const now = new Set([...this.#dialed.values(), ...this.#accepted.values()]);
    now.delete(this.#options.identity.nodeId);
    for (const nodeId of now) {
      if (!this.#connected.has(nodeId)) {
        this.#connected.add(nodeId);
        this.#onPeer.fire({ nodeId, connected: true });
      }
    }
    for (const nodeId of [...this.#connected]) {
      if (!now.has(nodeId)) {
        this.#connected.delete(nodeId);
        this.#heardMs.delete(nodeId);
        this.#onPeer.fire({ nodeId, connected: false });
      }
    }
  }

  #nowMs(): Millis {
    return this.#options.clock.nowMs();
  }
}

function keyOf<K>(map: ReadonlyMap<K, string>, value: string): K | undefined {
  for (const [key, item] of map) {
    if (item === value) {
      return key;
    }
  }
  return undefined;
}
