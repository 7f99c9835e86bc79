import type {
  Clock,
  DirectEvent,
  EndpointRecord,
  Measurement,
  Message,
  Millis,
  PromptCacheEntry,
  RoutingConfig,
} from "@anvildeal/core";
import type { Logger } from "../logging/index.js";
import { type Disposable, splitAddress } from "../net/index.js";
import type { Collection } from "./collection.js";
import { CollectionWatcher, type WatchedUpdate } from "./collection_watcher.js";
import type { DirectSettings } from "./direct_settings.js";
import { EndpointSync } from "./endpoint_sync.js";
import { PeerMesh } from "./peer_mesh.js";
import { WarmthNews } from "./warmth_news.js";

/** A peer that is ahead for this long is asked for what it knows. */
const BEHIND_MS: Millis = 300;

/** Peers to which a state is sent in each round. */
const PEERS_PER_ROUND = 16;

/** Every so many states carry the list of known routers. */
const STATES_PER_ROUTER_LIST = 6;

/** Consecutive failures from which the directory counts as lost. */
const LOST_AFTER_FAILURES = 2;

export interface DirectorySyncOptions {
  readonly settings: DirectSettings;
  readonly configs: Collection<RoutingConfig>;
  readonly endpoints: Collection<EndpointRecord>;
  readonly logger: Logger;
  readonly clock: Clock;
  readonly push: (event: DirectEvent) => void;
  readonly configInForce: () => RoutingConfig | undefined;
  /** The directory answers this router, and has for a while. */
  readonly isSettled: () => boolean;
  readonly warmEntries: () => readonly PromptCacheEntry[];
  readonly observe: (measurement: Measurement) => void;
  /** Called at each answer of the directory. */
  readonly onAnswer: () => void;
}

/**
 * Keeps configuration and endpoints current: from the directory, and from
 * other routers where those are ahead or the directory does not answer.
 */
export class DirectorySync implements Disposable {
  readonly #options: DirectorySyncOptions;
  readonly #mesh: PeerMesh;
  readonly #configs: CollectionWatcher<RoutingConfig>;
  readonly #endpoints: EndpointSync;
  readonly #news: WarmthNews;
  /** Consecutive failures by collection. */
  readonly #failures = new Map<string, number>();
  #inFlight: Readonly<Record<string, number>> = {};
  #rounds = 0;
  #states = 0;
  #behindSinceMs: Millis | undefined;

  constructor(options: DirectorySyncOptions) {
    this.#options = options;
    const { clock, settings } = options;
    this.#mesh = new PeerMesh({
      identity: {
        role: "router",
        nodeId: settings.nodeId,
        incarnation: clock.wallMs(),
        failureDomain: settings.failureDomain,
        fleetKey: settings.fleetKey,
      },
      address: settings.peerAddress,
      clock,
      onRejected: (peer, detail) =>
        options.logger.log("peer_rejected", { peer, detail }),
    });
    this.#news = new WarmthNews({
      clock,
      broadcast: (message) => this.#mesh.broadcast(message),
      sendTo: (nodeId, message) => this.#mesh.sendTo(nodeId, message),
    });
    this.#mesh.setSeeds(settings.seeds);
    this.#mesh.onMessage(({ message, nodeId }) =>
      this.#receive(nodeId, message)
    );
    this.#mesh.onPeer(({ connected, nodeId }) => {
      options.logger.log(connected ? "peer_regained" : "peer_lost", {
        peer: nodeId,
      });
      if (!connected) {
        this.#endpoints.forgetWatcher(nodeId);
        this.#news.noteLost(nodeId);
        return;
      }
      this.#news.noteRegained(nodeId);
      if (this.#mesh.connectedCount === 1) {
        this.#askForWarmth(nodeId);
      }
    });
    this.#configs = this.#watch(options.configs, (update) => {
      for (const config of update.upserts) {
        this.#applyConfig(config, "directory");
      }
    }, true);
    this.#endpoints = new EndpointSync({
      ...options,
      nodeId: settings.nodeId,
      watcher: this.#watch(options.endpoints, () => {}),
      broadcast: (message) => this.#mesh.broadcast(message),
      onRest: () => this.#noteFailures(options.endpoints.label, 0),
    });
  }

  start(): void {
    const { host, port } = splitAddress(this.#options.settings.peerAddress);
    this.#mesh.listen(host, port).catch((error: unknown) => {
      this.#options.logger.log("peer_rejected", {
        detail: `cannot listen for peers: ${String(error)}`,
      });
    });
    this.#configs.start();
    this.#endpoints.start();
    this.#mesh.maintain();
  }

  setSeeds(seeds: readonly string[]): void {
    this.#mesh.setSeeds(seeds);
  }

  /** One router of the fleet, as far as the routers know each other. */
  get isFirstRouter(): boolean {
    return this.#mesh.isFirst;
  }

  /** Keeps the connections up and tells the peers this router's state. */
  tell(inFlight: Readonly<Record<string, number>>): void {
    this.#mesh.maintain();
    this.#options.push({
      type: "peers_changed",
      routerCount: this.#mesh.routerCount,
    });
    this.#endpoints.tick(this.#mesh.routerCount);
    this.#inFlight = inFlight;
    // The messages of a router grow with the fleet, so they come less often.
    const interval = Math.max(1, this.#mesh.connectedCount / PEERS_PER_ROUND);
    this.#rounds++;
    if (this.#rounds >= interval) {
      this.#rounds = 0;
      this.#tellState();
    }
  }

  /** Tells the peers what an endpoint holds, together with other news. */
  tellWarmth(entry: PromptCacheEntry): void {
    this.#news.tell(entry);
  }

  dispose(): void {
    this.#configs.dispose();
    this.#endpoints.dispose();
    this.#news.dispose();
    this.#mesh.dispose();
  }

  #tellState(): void {
    this.#states++;
    this.#mesh.broadcast({
      type: "fleet_state",
      configVersion: this.#configVersion(),
      directoryRevision: this.#endpoints.lastChange,
      inFlight: { ...this.#inFlight },
      routers: this.#states % STATES_PER_ROUTER_LIST === 1
        ? this.#mesh.knownRouters()
        : [this.#mesh.ownEntry()],
    });
  }

  /** The first router that is met tells what it knows; others tell news. */
  #askForWarmth(nodeId: string): void {
    this.#mesh.sendTo(nodeId, {
      type: "fleet_query",
      configVersion: this.#configVersion(),
      directoryRevision: this.#endpoints.revision,
      wantsWarmth: true,
    });
  }

  #sendWarmth(nodeId: string): void {
    const entries = [...this.#options.warmEntries()];
    if (entries.length > 0) {
      this.#mesh.sendTo(nodeId, { type: "fleet_warmth", entries });
    }
  }

  #configVersion(): number {
    return this.#options.configInForce()?.version ?? 0;
  }

  #watch<T>(
    collection: Collection<T>,
    apply: (update: WatchedUpdate<T>) => void,
    latestOnly = false,
  ): CollectionWatcher<T> {
    const { logger, observe } = this.#options;
    const watcher = new CollectionWatcher(collection, Math.random, latestOnly);
    const count = (result: string) =>
      observe({
        metric: "directory_calls_total",
        value: 1,
        labels: { kind: collection.label, result },
      });
    watcher.onUpdate((update) => {
      for (const { detail, name } of update.ignored) {
        logger.log("record_ignored", {
          collection: collection.label,
          record: name,
          detail,
        });
      }
      apply(update);
    });
    watcher.onAnswer(() => {
      count("ok");
      this.#options.onAnswer();
      this.#noteFailures(collection.label, 0);
    });
    watcher.onFailure(({ historyGone, ...failure }) => {
      count("failed");
      logger.log("directory_call_failed", { ...failure });
      if (historyGone) {
        return;
      }
      const failures = this.#failures.get(collection.label) ?? 0;
      this.#noteFailures(collection.label, failures + 1);
    });
    return watcher;
  }

  /** A single failure may be a watch that was cut, not an outage. */
  #noteFailures(label: string, failures: number): void {
    this.#failures.set(label, failures);
    const most = Math.max(...this.#failures.values());
    if (most === 0 || most >= LOST_AFTER_FAILURES) {
      this.#noteStore(most === 0);
    }
  }

  #noteStore(available: boolean): void {
    this.#options.push({
      type: "store_state_changed",
      nowMs: this.#options.clock.nowMs(),
      available,
    });
  }

  #applyConfig(config: RoutingConfig, source: string): void {
    const before = this.#configVersion();
    this.#options.push({
      type: "config_received",
      nowMs: this.#options.clock.nowMs(),
      config,
      source,
    });
    if (this.#configVersion() > before) {
      // Peers that the directory does not tell ask for the content; sending it
      // to all of them would fill the links of small machines.
      this.#tellState();
    }
  }

  #receive(nodeId: string, message: Message): void {
    switch (message.type) {
      case "fleet_state":
        this.#mesh.learn(message.routers);
        this.#options.push({
          type: "peer_loads_received",
          nowMs: this.#options.clock.nowMs(),
          peerId: nodeId,
          inFlight: message.inFlight,
        });
        this.#compare(nodeId, message);
        break;
      case "fleet_warmth":
        this.#options.push({
          type: "prompt_cache_entries_received",
          entries: message.entries,
        });
        break;
      case "fleet_query":
        this.#answer(nodeId, message);
        if (message.wantsWarmth) {
          this.#sendWarmth(nodeId);
        }
        break;
      case "fleet_content":
        this.#takeOver(nodeId, message);
        break;
      case "fleet_watching":
        this.#endpoints.noteWatcher(nodeId);
        this.#compare(nodeId, { ...message, configVersion: 0 });
        break;
      case "fleet_change":
        this.#endpoints.takeChange(nodeId, message);
        break;
    }
  }

  /** Asks a peer that has been ahead for a while. */
  #compare(
    nodeId: string,
    { configVersion, directoryRevision }: {
      readonly configVersion: number;
      readonly directoryRevision: number;
    },
  ): void {
    const ahead = configVersion > this.#configVersion() ||
      directoryRevision > this.#endpoints.revision;
    if (!ahead) {
      return;
    }
    const nowMs = this.#options.clock.nowMs();
    this.#behindSinceMs ??= nowMs;
    const unknown = this.#configVersion() === 0 ||
      this.#endpoints.revision === 0;
    if (unknown || nowMs - this.#behindSinceMs >= BEHIND_MS) {
      this.#behindSinceMs = undefined;
      this.#mesh.sendTo(nodeId, {
        type: "fleet_query",
        configVersion: this.#configVersion(),
        directoryRevision: this.#endpoints.revision,
      });
    }
  }

  #answer(
    nodeId: string,
    query: {
      readonly configVersion: number;
      readonly directoryRevision: number;
    },
  ): void {
    const config = this.#options.configInForce();
    const newer = config && config.version > query.configVersion;
    const ahead = this.#endpoints.lastChange > query.directoryRevision;
    if (!newer && !ahead) {
      return;
    }
    this.#mesh.sendTo(nodeId, {
      type: "fleet_content",
      ...(newer ? { config } : {}),
      ...(ahead ? { directory: this.#endpoints.content() } : {}),
    });
  }

  #takeOver(
    nodeId: string,
    { config, directory }: Extract<Message, { type: "fleet_content" }>,
  ): void {
    if (config && config.version > this.#configVersion()) {
      this.#applyConfig(config, `peer ${nodeId}`);
    }
    if (directory) {
      this.#endpoints.takeContent(nodeId, directory);
    }
  }
}
