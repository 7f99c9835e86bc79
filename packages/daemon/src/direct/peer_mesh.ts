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

/**
 * Maximum number of routers that this one dials. In larger fleets, updates reach
 * the other routers through these.
 */
const MAX_DIALED_ROUTERS = 32;

/**
 * Of two routers, the one with the lower id dials. If there is no connection
 * after this time, the other one dials as well.
 */
const DIAL_BACK_DELAY_MS: Millis = 2000;

/** A router is removed if no router has received a message from it for this long. */
const ROUTER_EXPIRY_MS: Millis = 12_000;

/**
 * If no message from a connected router has arrived on any of its connections
 * for this long, all of them are closed.
 */
const STALL_TIMEOUT_MS: Millis = 2500;

/** Minimum time between two attempts to dial the same router. */
const REDIAL_INTERVAL_MS: Millis = 700;

/** Maximum length of the list of routers in the message schema. */
const MAX_LISTED_ROUTERS = 32;

interface MeshRouter {
  address: string;
  incarnation: number;
  /**
   * Time at which any router of the fleet last received a message from the
   * router that this entry describes.
   */
  lastSeenMs: Millis;
  readonly discoveredMs: Millis;
}

export interface MeshMessage {
  readonly nodeId: string;
  readonly message: Message;
}

export interface PeerMeshOptions {
  readonly identity: PeerIdentity;
  /** Address at which other routers reach this one. */
  readonly address: string;
  readonly clock: Clock;
  /** Returns the first message that is sent on a connection to another router. */
  readonly openingMessage: () => Message;
  /** Called before a connection closes because of what the peer sent. */
  readonly onRejected?: PeerConnectionOptions["onRejected"];
}

/**
 * Connections of a router to other routers of its fleet, which it discovers
 * through seed addresses and through the lists that routers exchange.
 */
export class PeerMesh implements Disposable {
  readonly #options: PeerMeshOptions;
  readonly #meter = new TrafficMeter();
  readonly #server: PeerServer;
  readonly #dialer: PeerDialer;
  readonly #routers = new Map<string, MeshRouter>();
  /** Node ids of the routers that opened connections to this one. */
  readonly #accepted = new Map<PeerConnection, string>();
  /**
   * Connections that this router opened: from dial id to the node id of the
   * router that answered. The dial id is the node id if it was known when
   * dialling; for a seed, whose node id is not known yet, it is derived from the
   * address.
   */
  readonly #dialed = new Map<string, string>();
  /** Time at which this router last dialled, by dial id (see `#dialed`). */
  readonly #lastDialMs = new Map<string, Millis>();
  /** When the last message from a connected router arrived, on any connection. */
  readonly #lastMessageMs = new Map<string, Millis>();
  readonly #onMessage = new Emitter<MeshMessage>();
  readonly #onPeer = new Emitter<{ nodeId: string; connected: boolean }>();
  readonly #connected = new Set<string>();
  #seeds: readonly string[] = [];

  readonly onMessage = this.#onMessage.event;
  /** Fires when the first connection to a router opens or the last one closes. */
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
    this.#dialer.onReady(({ peerId: dialId, hello }) => {
      this.#dialed.set(dialId, hello.nodeId);
      this.#recordConnection(hello.nodeId);
    });
    this.#dialer.onMessage(({ peerId: dialId, message }) => {
      const nodeId = this.#dialed.get(dialId);
      if (nodeId !== undefined) {
        this.#handleMessage(nodeId, message);
      }
    });
    this.#dialer.onClose(({ peerId: dialId }) => {
      this.#dialed.delete(dialId);
      this.#updateConnected();
    });
  }

  get meter(): TrafficMeter {
    return this.#meter;
  }

  /** Routers of the fleet that are known and not expired, this one included. */
  get routerCount(): number {
    return this.#routers.size + 1;
  }

  /** Whether this router's id sorts before the ids of all known routers. */
  get hasLowestNodeId(): boolean {
    const localNodeId = this.#options.identity.nodeId;
    return [...this.#routers.keys()].every((nodeId) => localNodeId < nodeId);
  }

  /** Routers that this one is connected to. */
  get connectedCount(): number {
    return this.#connected.size;
  }

  listen(host: string, port: number): Promise<number> {
    return this.#server.listen(host, port);
  }

  /** Replaces the addresses that are dialled while no router is connected. */
  setSeeds(addresses: readonly string[]): void {
    this.#seeds = addresses.filter((address) =>
      address !== this.#options.address
    );
  }

  /** Sends a message once to each connected router. */
  broadcast(message: Message): void {
    for (const nodeId of this.#connected) {
      this.sendTo(nodeId, message);
    }
  }

  /** Sends a message to a router; does nothing if it is not connected. */
  sendTo(nodeId: string, message: Message): void {
    const dialId = findKey(this.#dialed, nodeId);
    const connection = findKey(this.#accepted, nodeId);
    if (dialId !== undefined && (this.#isDialer(nodeId) || !connection)) {
      this.#dialer.send(dialId, "", message);
    } else {
      connection?.send(message);
    }
  }

  /** Routers to announce to peers: this one, then the most recently seen ones. */
  knownRouters(): KnownRouter[] {
    const nowMs = this.#nowMs();
    const others = [...this.#routers].map(([nodeId, router]) => ({
      nodeId,
      address: router.address,
      incarnation: router.incarnation,
      ageMs: Math.round(nowMs - router.lastSeenMs),
    })).sort((a, b) => a.ageMs - b.ageMs);
    return [this.localEntry(), ...others].slice(0, MAX_LISTED_ROUTERS);
  }

  /** Entry of this router in the list that peers receive. */
  localEntry(): KnownRouter {
    const { address, identity: { incarnation, nodeId } } = this.#options;
    return { nodeId, address, incarnation, ageMs: 0 };
  }

  /** Merges the routers that a peer knows into the list of this one. */
  mergeRouters(routers: MessageOf<"fleet_state">["routers"]): void {
    const nowMs = this.#nowMs();
    for (const { nodeId, address, incarnation, ageMs } of routers) {
      if (nodeId === this.#options.identity.nodeId) {
        continue;
      }
      const lastSeenMs = nowMs - ageMs;
      const known = this.#routers.get(nodeId);
      if (
        ageMs < ROUTER_EXPIRY_MS && (!known || lastSeenMs > known.lastSeenMs)
      ) {
        const discoveredMs = known?.discoveredMs ?? nowMs;
        this.#routers.set(nodeId, {
          address,
          incarnation,
          lastSeenMs,
          discoveredMs,
        });
      }
    }
  }

  /**
   * Opens missing connections, closes stalled ones and removes expired routers.
   * Must be called periodically.
   */
  maintain(): void {
    const nowMs = this.#nowMs();
    for (const [nodeId, router] of this.#routers) {
      if (nowMs - router.lastSeenMs > ROUTER_EXPIRY_MS) {
        this.#routers.delete(nodeId);
      }
    }
    for (const nodeId of [...this.#connected]) {
      if (
        nowMs - (this.#lastMessageMs.get(nodeId) ?? nowMs) > STALL_TIMEOUT_MS
      ) {
        this.#closeConnections(nodeId);
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
    const localNodeId = this.#options.identity.nodeId;
    const selected = rankByRendezvous(
      localNodeId,
      [...this.#routers.keys()],
      MAX_DIALED_ROUTERS,
    );
    for (const nodeId of selected) {
      const router = this.#routers.get(nodeId);
      if (!router || this.#connected.has(nodeId)) {
        continue;
      }
      if (
        this.#isDialer(nodeId) ||
        nowMs - router.discoveredMs > DIAL_BACK_DELAY_MS
      ) {
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

  /**
   * Opens a connection to an address unless this router dialled the same dial
   * id less than `REDIAL_INTERVAL_MS` ago. `dialId` is a key of `#dialed`.
   */
  #dial(dialId: string, address: string, nowMs: Millis): void {
    const lastMs = this.#lastDialMs.get(dialId);
    if (lastMs !== undefined && nowMs - lastMs < REDIAL_INTERVAL_MS) {
      return;
    }
    this.#lastDialMs.set(dialId, nowMs);
    this.#dialer.close(dialId);
    this.#dialer.send(dialId, address, this.#options.openingMessage());
  }

  #accept(connection: PeerConnection): void {
    connection.onReady((hello) => {
      this.#accepted.set(connection, hello.nodeId);
      this.#recordConnection(hello.nodeId);
    });
    connection.onMessage((message) => {
      const nodeId = this.#accepted.get(connection);
      if (nodeId !== undefined) {
        this.#handleMessage(nodeId, message);
      }
    });
    connection.onClose(() => {
      this.#accepted.delete(connection);
      this.#updateConnected();
    });
  }

  /**
   * Whether this router, rather than the other one, is to dial. If two routers
   * have dialled each other, both use the connection that the one with the lower
   * id opened.
   */
  #isDialer(nodeId: string): boolean {
    return this.#options.identity.nodeId < nodeId;
  }

  #recordConnection(nodeId: string): void {
    this.#lastMessageMs.set(nodeId, this.#nowMs());
    this.#updateConnected();
  }

  #closeConnections(nodeId: string): void {
    for (const [dialId, id] of [...this.#dialed]) {
      if (id === nodeId) {
        this.#dialer.close(dialId);
        this.#dialed.delete(dialId);
      }
    }
    for (const [connection, id] of [...this.#accepted]) {
      if (id === nodeId) {
        connection.close("no message within the stall timeout");
      }
    }
  }

  #handleMessage(nodeId: string, message: Message): void {
    if (nodeId === this.#options.identity.nodeId) {
      return;
    }
    this.#lastMessageMs.set(nodeId, this.#nowMs());
    const known = this.#routers.get(nodeId);
    if (known) {
      known.lastSeenMs = this.#nowMs();
    }
    this.#onMessage.fire({ nodeId, message });
  }

  #updateConnected(): void {
    const connectedNow = new Set([
      ...this.#dialed.values(),
      ...this.#accepted.values(),
    ]);
    connectedNow.delete(this.#options.identity.nodeId);
    for (const nodeId of connectedNow) {
      if (!this.#connected.has(nodeId)) {
        this.#connected.add(nodeId);
        this.#onPeer.fire({ nodeId, connected: true });
      }
    }
    for (const nodeId of [...this.#connected]) {
      if (!connectedNow.has(nodeId)) {
        this.#connected.delete(nodeId);
        this.#lastMessageMs.delete(nodeId);
        this.#onPeer.fire({ nodeId, connected: false });
      }
    }
  }

  #nowMs(): Millis {
    return this.#options.clock.nowMs();
  }
}

function findKey<K>(map: ReadonlyMap<K, string>, value: string): K | undefined {
  for (const [key, item] of map) {
    if (item === value) {
      return key;
    }
  }
  return undefined;
}
