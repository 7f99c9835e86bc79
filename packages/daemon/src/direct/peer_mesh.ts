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
import { type PeerLink, PeerLinks } from "./peer_links.js";

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

/** A connection on which no message has arrived for this long is closed. */
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

/** The first connection to a router opened, or the last one closed. */
export interface PeerChange {
  readonly nodeId: string;
  readonly connected: boolean;
  /** Why the last connection closed; undefined if one opened. */
  readonly reason?: string;
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
  readonly #links = new PeerLinks();
  /** Connections that other routers opened. */
  readonly #accepted = new Map<PeerConnection, PeerLink>();
  /**
   * Connections that this router opened, by dial id. The dial id is the node id
   * if it was known when dialling; for a seed, whose node id is not known yet,
   * it is derived from the address.
   */
  readonly #dialed = new Map<string, PeerLink>();
  /** Time at which this router last dialled, by dial id (see `#dialed`). */
  readonly #lastDialMs = new Map<string, Millis>();
  readonly #onMessage = new Emitter<MeshMessage>();
  readonly #onPeer = new Emitter<PeerChange>();
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
      const link = this.#addLink(
        hello.nodeId,
        this.#isDialer(hello.nodeId),
        (message) => this.#dialer.send(dialId, "", message),
        (reason) => {
          this.#dialer.close(dialId);
          this.#removeDialed(dialId, reason);
        },
      );
      this.#dialed.set(dialId, link);
    });
    this.#dialer.onMessage(({ peerId: dialId, message }) =>
      this.#handleMessage(this.#dialed.get(dialId), message)
    );
    this.#dialer.onClose(({ peerId: dialId, reason }) =>
      this.#removeDialed(dialId, reason)
    );
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

  /** Ids of the other routers that are known and not expired. */
  get knownIds(): readonly string[] {
    return [...this.#routers.keys()];
  }

  /** Ids of the routers that this one is connected to. */
  get connectedIds(): readonly string[] {
    return [...this.#connected];
  }

  /** Number of routers that this one is connected to. */
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
    this.#links.select(nodeId)?.send(message);
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
    for (const link of this.#links.silentSince(nowMs - STALL_TIMEOUT_MS)) {
      link.close(`no message for ${Math.round(nowMs - link.lastMessageMs)} ms`);
    }
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
    // An earlier attempt may still be waiting for its handshake.
    this.#dialer.close(dialId);
    this.#dialer.send(dialId, address, this.#options.openingMessage());
  }

  #accept(connection: PeerConnection): void {
    connection.onReady(({ nodeId }) => {
      const link = this.#addLink(
        nodeId,
        !this.#isDialer(nodeId),
        (message) => connection.send(message),
        (reason) => connection.close(reason),
      );
      this.#accepted.set(connection, link);
    });
    connection.onMessage((message) =>
      this.#handleMessage(this.#accepted.get(connection), message)
    );
    connection.onClose(({ reason }) => {
      const link = this.#accepted.get(connection);
      this.#accepted.delete(connection);
      this.#removeLink(link, reason);
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

  #addLink(
    nodeId: string,
    openedByLowerId: boolean,
    send: PeerLink["send"],
    close: PeerLink["close"],
  ): PeerLink {
    const lastMessageMs = this.#nowMs();
    const link = { nodeId, openedByLowerId, lastMessageMs, send, close };
    if (nodeId === this.#options.identity.nodeId) {
      return link;
    }
    this.#links.add(link);
    if (!this.#connected.has(nodeId)) {
      this.#connected.add(nodeId);
      this.#onPeer.fire({ nodeId, connected: true });
    }
    return link;
  }

  #removeDialed(dialId: string, reason: string): void {
    const link = this.#dialed.get(dialId);
    this.#dialed.delete(dialId);
    this.#removeLink(link, reason);
  }

  #removeLink(link: PeerLink | undefined, reason: string): void {
    if (!link) {
      return;
    }
    const { nodeId } = link;
    this.#links.remove(link);
    if (this.#connected.has(nodeId) && !this.#links.select(nodeId)) {
      this.#connected.delete(nodeId);
      this.#onPeer.fire({ nodeId, connected: false, reason });
    }
  }

  #handleMessage(link: PeerLink | undefined, message: Message): void {
    if (!link || link.nodeId === this.#options.identity.nodeId) {
      return;
    }
    const { nodeId } = link;
    link.lastMessageMs = this.#nowMs();
    const known = this.#routers.get(nodeId);
    if (known) {
      known.lastSeenMs = this.#nowMs();
    }
    this.#onMessage.fire({ nodeId, message });
  }

  #nowMs(): Millis {
    return this.#options.clock.nowMs();
  }
}
