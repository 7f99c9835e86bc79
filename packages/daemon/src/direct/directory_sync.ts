import {
  type Clock,
  type DirectEvent,
  type EndpointRecord,
  isLaterPosition,
  type KnownRouter,
  type LimitReport,
  type Measurement,
  type Message,
  type MessageOf,
  type Millis,
  type PromptCacheEntry,
  rankByRendezvous,
  relayTargets,
  type RoutingConfig,
  type ServiceVersions,
  type StreamOrigin,
  type StreamRecord,
  type SuspectReport,
} from "@anvildeal/core";
import { createHash } from "node:crypto";
import type { Logger } from "../logging/index.js";
import { type Disposable, splitAddress } from "../net/index.js";
import type { Collection } from "./collection.js";
import { CollectionWatcher, type WatchedUpdate } from "./collection_watcher.js";
import type { DirectSettings } from "./direct_settings.js";
import { DirectoryHealth } from "./directory_health.js";
import type { DocumentFolder } from "./document_folder.js";
import { EndpointReports } from "./endpoint_reports.js";
import { EndpointSync } from "./endpoint_sync.js";
import { type EvacuationRecord, EvacuationSync } from "./evacuation_sync.js";
import { type KnownContent, PeerCatchUp } from "./peer_catch_up.js";
import { PeerMesh } from "./peer_mesh.js";
import { PromptCacheBroadcaster } from "./prompt_cache_broadcaster.js";
import {
  StreamOriginExchange,
  streamRecordOf,
} from "./stream_origin_exchange.js";
import { StreamRecordPersistence } from "./stream_record_persistence.js";
import { VersionCheck } from "./version_check.js";
import { WatchDuty } from "./watch_duty.js";

/**
 * Maximum number of `fleet_state` messages that a router sends in each call of
 * {@link DirectorySync.tick}, averaged over the calls.
 */
const STATE_MESSAGES_PER_TICK = 16;

/**
 * One in this many `fleet_state` broadcasts lists the known routers; the others
 * list only the sender.
 */
const STATES_PER_ROUTER_LIST = 6;

export interface DirectorySyncOptions {
  readonly settings: DirectSettings;
  readonly configs: Collection<RoutingConfig>;
  readonly endpoints: Collection<EndpointRecord>;
  /** Read only if the settings have a bound for evacuations. */
  readonly evacuations?: Collection<EvacuationRecord>;
  readonly logger: Logger;
  readonly clock: Clock;
  readonly push: (event: DirectEvent) => void;
  readonly configInForce: () => RoutingConfig | undefined;
  /** Whether the directory is available and was not unavailable recently. */
  readonly isDirectoryReliable: () => boolean;
  readonly promptCacheEntries: () => readonly PromptCacheEntry[];
  /** Origin of a stream that this router knows. */
  readonly streamOriginOf: (callId: string) => StreamOrigin | undefined;
  /** Holds which versions began streams. */
  readonly streamFolder: DocumentFolder;
  /** Versions of the endpoints that serve or served of late. */
  readonly versions: () => readonly ServiceVersions[];
  /** Limits that endpoints name, as this router knows them. */
  readonly limits: () => readonly LimitReport[];
  /** Under which requests endpoints crashed, as this router knows it. */
  readonly suspects: () => readonly SuspectReport[];
  readonly observe: (measurement: Measurement) => void;
  /** Makes further calls to the directory use new connections. */
  readonly renewConnections: (reason: string) => void;
  /** Makes further calls for orders to evacuate use new connections. */
  readonly useNewEvacuationConnections?: () => void;
  /**
   * Returns the earliest time at which a message can have been sent that is
   * handled now, from the time since when it was awaited.
   */
  readonly earliestSentMs: (awaitedSinceMs: Millis) => Millis;
  /** Called after each successful call to the directory. */
  readonly onAnswer: () => void;
}

/**
 * A call that failed within this time shows that the directory is down. Later it
 * may be back although a call that hangs has not shown that yet.
 */
const RECENT_FAILURE_MS: Millis = 600;

/** Reports of other routers are awaited all the time. */
const AWAITED_ALWAYS: Millis = Number.NEGATIVE_INFINITY;

/**
 * Prefixes of the names of documents with streams. Each router uses one, so that
 * the number of documents does not grow with the fleet.
 */
const STREAM_WRITERS = ["a", "b", "c", "d"];

/** Fields of messages that name what the sender knows. */
type ContentFields = Pick<
  MessageOf<"fleet_state">,
  "configVersion" | "directoryEpoch" | "directoryRevision"
>;

/**
 * Keeps configuration, endpoints and prompt cache contents up to date. They
 * come from the directory, or from other routers if those are ahead or the
 * directory does not answer.
 */
export class DirectorySync implements Disposable {
  readonly #options: DirectorySyncOptions;
  readonly #mesh: PeerMesh;
  readonly #configs: CollectionWatcher<RoutingConfig>;
  readonly #endpointWatcher: CollectionWatcher<EndpointRecord>;
  readonly #endpoints: EndpointSync;
  readonly #evacuations: EvacuationSync | undefined;
  readonly #watchDuty: WatchDuty;
  readonly #promptCacheBroadcaster: PromptCacheBroadcaster;
  readonly #streamOrigins: StreamOriginExchange;
  readonly #streamRecords: StreamRecordPersistence;
  readonly #endpointReports: EndpointReports;
  readonly #versionCheck: VersionCheck;
  readonly #catchUp: PeerCatchUp;
  readonly #health: DirectoryHealth;
  #inFlightByEndpoint: Readonly<Record<string, number>> = {};
  #ticksSinceStateBroadcast = 0;
  #stateBroadcastCount = 0;

  constructor(options: DirectorySyncOptions) {
    this.#options = options;
    const { clock, settings } = options;
    this.#catchUp = new PeerCatchUp(clock);
    this.#versionCheck = new VersionCheck(options);
    this.#health = new DirectoryHealth({
      ...options,
      labels: [options.configs.label, options.endpoints.label],
    });
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
      // A small message: the peer answers with its own state, which shows
      // whether this router is behind.
      openingMessage: () => this.#stateMessage([this.#mesh.localEntry()]),
      onRejected: (peer, detail) =>
        options.logger.log("peer_rejected", { peer, detail }),
    });
    this.#promptCacheBroadcaster = new PromptCacheBroadcaster({
      clock,
      broadcast: (message) => this.#mesh.broadcast(message),
      sendTo: (nodeId, message) => this.#mesh.sendTo(nodeId, message),
    });
    this.#streamOrigins = new StreamOriginExchange({
      clock,
      push: options.push,
      originOf: options.streamOriginOf,
      connectedIds: () => this.#mesh.connectedIds,
      sendTo: (nodeId, message) => this.#mesh.sendTo(nodeId, message),
      isFleetConnected: () =>
        this.#mesh.connectedCount === this.#mesh.knownIds.length &&
        !this.#catchUp.isBehind(this.#knownContent()),
    });
    this.#streamRecords = new StreamRecordPersistence({
      ...options,
      folder: options.streamFolder,
      namePrefix: rankByRendezvous(settings.nodeId, STREAM_WRITERS, 1)[0]!,
      // Not every id of a router may be the name of a document.
      ownNamePrefix: createHash("sha256").update(settings.nodeId).digest("hex")
        .slice(0, 16),
      hasLowestConnectedId: () => this.hasLowestConnectedId,
      connectedCount: () => this.#mesh.connectedCount,
      relay: (records) => this.#relayStreamRecords(records),
      isDirectoryFailing: () => this.#health.failedWithin(RECENT_FAILURE_MS),
      confirm: (nodeId, callIds) =>
        this.#mesh.sendTo(nodeId, {
          type: "fleet_streams_stored",
          callIds: [...callIds],
        }),
    });
    this.#endpointReports = new EndpointReports({
      ...options,
      connectedCount: () => this.#mesh.connectedCount,
      relayTargets: () =>
        relayTargets(
          settings.nodeId,
          this.#mesh.connectedIds,
          this.#mesh.knownIds,
        ),
      broadcast: (message) => this.#mesh.broadcast(message),
      sendTo: (nodeId, message) => this.#mesh.sendTo(nodeId, message),
    });
    this.#mesh.setSeeds(settings.seeds);
    this.#mesh.onMessage(({ message, nodeId }) =>
      this.#handleMessage(nodeId, message)
    );
    this.#mesh.onPeer(({ connected, nodeId, reason }) => {
      options.logger.log(connected ? "peer_regained" : "peer_lost", {
        peer: nodeId,
        reason,
      });
      if (!connected) {
        this.#catchUp.endQuery(nodeId);
        this.#evacuations?.removePeer(nodeId);
        this.#watchDuty.removeWatcher(nodeId);
        this.#promptCacheBroadcaster.handleDisconnect(nodeId);
        this.#streamOrigins.handleDisconnect(nodeId);
        return;
      }
      this.#promptCacheBroadcaster.handleReconnect(nodeId);
      this.#streamOrigins.handleConnect(nodeId);
      this.#endpointReports.handleConnect(nodeId);
      this.#mesh.sendTo(
        nodeId,
        this.#stateMessage([this.#mesh.localEntry()]),
      );
      if (this.#mesh.connectedCount === 1) {
        this.#requestPromptCache(nodeId);
      }
    });
    this.#configs = this.#createWatcher(options.configs, (update) => {
      for (const config of update.upserts) {
        this.#applyConfig(config, "directory");
      }
    }, true);
    this.#endpointWatcher = this.#createWatcher(options.endpoints, () => {});
    this.#endpointWatcher.onAnswer(() =>
      this.#evacuations?.recordEndpointAnswer()
    );
    this.#endpointWatcher.onFailure(({ waitedMs }) =>
      this.#evacuations?.recordEndpointFailure(waitedMs)
    );
    this.#watchDuty = new WatchDuty({
      ...options,
      nodeId: settings.nodeId,
      maxDirectoryAgeMs: settings.maxDirectoryAgeMs,
      configs: this.#configs,
      endpoints: this.#endpointWatcher,
      onWatchPaused: () => this.#health.clearFailures(options.endpoints.label),
    });
    this.#endpoints = new EndpointSync({
      ...options,
      watcher: this.#endpointWatcher,
      isWatcher: () => this.#watchDuty.isWatcher,
      broadcast: (message) => this.#mesh.broadcast(message),
    });
    this.#evacuations = this.#createEvacuationSync();
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
    this.#evacuations?.start();
    this.#mesh.maintain();
  }

  setSeeds(seeds: readonly string[]): void {
    this.#mesh.setSeeds(seeds);
  }

  /**
   * Whether this router's id is the lowest of the routers that it knows. This
   * is true for one router of a fleet in which all routers know each other.
   */
  get hasLowestNodeId(): boolean {
    return this.#mesh.hasLowestNodeId;
  }

  /** Whether this router's id is the lowest of those that it is connected to. */
  get hasLowestConnectedId(): boolean {
    const { nodeId } = this.#options.settings;
    return this.#mesh.connectedIds.every((other) => nodeId < other);
  }

  /**
   * Maintains the connections to peers and sends them this router's state, less
   * often in a large fleet. Must be called periodically.
   *
   * @param inFlight Requests of this router in flight, by endpoint.
   */
  tick(inFlight: Readonly<Record<string, number>>): void {
    this.#mesh.maintain();
    this.#options.push({
      type: "router_count_observed",
      nowMs: this.#options.clock.nowMs(),
      routerCount: this.#mesh.routerCount,
      isFirst: this.#mesh.hasLowestNodeId,
      routerIds: this.#mesh.knownIds,
    });
    this.#watchDuty.tick(this.#mesh.routerCount);
    this.#evacuations?.tick();
    this.#streamRecords.tick();
    this.#reportWatching();
    this.#inFlightByEndpoint = inFlight;
    // Each broadcast sends one message per peer, so a router with many peers
    // broadcasts its state less often.
    const intervalTicks = Math.max(
      1,
      this.#mesh.connectedCount / STATE_MESSAGES_PER_TICK,
    );
    this.#ticksSinceStateBroadcast++;
    if (this.#ticksSinceStateBroadcast >= intervalTicks) {
      this.#ticksSinceStateBroadcast = 0;
      this.#broadcastState();
    }
  }

  /** Sends prompt cache contents to the peers, batched with other updates. */
  broadcastPromptCacheEntry(entry: PromptCacheEntry): void {
    this.#promptCacheBroadcaster.enqueue(entry);
  }

  /** Tells the connected routers about limits that endpoints name. */
  shareLimits(limits: readonly LimitReport[]): void {
    this.#endpointReports.shareLimits(limits);
  }

  /**
   * Tells other routers about prompt parts and requests under which endpoints
   * crashed.
   *
   * @param isOwn Whether this router found them; otherwise they are passed on.
   */
  shareSuspects(suspects: readonly SuspectReport[], isOwn: boolean): void {
    this.#endpointReports.shareSuspects(suspects, isOwn);
  }

  /** Tells other routers which software version began a stream. */
  announceStreamOrigin(callId: string, origin: StreamOrigin): void {
    this.#streamOrigins.announce(callId, origin);
  }

  /** Sees to it that the store has the origins of streams. */
  storeStreamRecords(records: readonly StreamRecord[]): void {
    this.#streamRecords.record(records);
  }

  /** Stores what is kept of versions again. */
  storeStreamRecordsAgain(): void {
    this.#streamRecords.storeAgain();
  }

  /** Reads what is stored; the answer is an event `stream_records_read`. */
  readStreamRecords(): void {
    this.#streamRecords.read();
  }

  /** Reads which versions serve; the answer is an event `versions_checked`. */
  checkVersions(key: number): void {
    this.#versionCheck.check(key);
  }

  /** Asks other routers; the answer is an event `stream_origin_answered`. */
  findStreamOrigin(key: number, callId: string): void {
    this.#streamOrigins.find(key, callId);
  }

  dispose(): void {
    this.#configs.dispose();
    this.#endpoints.dispose();
    this.#evacuations?.dispose();
    this.#promptCacheBroadcaster.dispose();
    this.#streamOrigins.dispose();
    this.#streamRecords.dispose();
    this.#versionCheck.dispose();
    this.#endpointReports.dispose();
    this.#mesh.dispose();
  }

  #broadcastState(): void {
    this.#stateBroadcastCount++;
    this.#mesh.broadcast(this.#stateMessage(
      this.#stateBroadcastCount % STATES_PER_ROUTER_LIST === 1
        ? this.#mesh.knownRouters()
        : [this.#mesh.localEntry()],
    ));
  }

  #stateMessage(routers: KnownRouter[]): MessageOf<"fleet_state"> {
    const { epoch, revision } = this.#endpoints.lastChange;
    const evacuations = this.#evacuations?.lastChange;
    return {
      type: "fleet_state",
      configVersion: this.#configVersion(),
      directoryRevision: revision,
      directoryEpoch: epoch,
      inFlight: { ...this.#inFlightByEndpoint },
      routers,
      ...(evacuations ? { evacuations } : {}),
    };
  }

  /**
   * Requests the prompt cache contents that a peer knows. Only the first
   * connected peer is queried; later updates come from all peers.
   */
  #requestPromptCache(nodeId: string): void {
    this.#catchUp.recordQuery(nodeId);
    this.#mesh.sendTo(nodeId, { ...this.#query(), wantsWarmth: true });
  }

  #query(): MessageOf<"fleet_query"> {
    const { epoch, revision } = this.#endpoints.position;
    return {
      type: "fleet_query",
      configVersion: this.#configVersion(),
      directoryRevision: revision,
      directoryEpoch: epoch,
    };
  }

  #sendPromptCache(nodeId: string): void {
    const entries = [...this.#options.promptCacheEntries()];
    if (entries.length > 0) {
      this.#mesh.sendTo(nodeId, { type: "fleet_warmth", entries });
    }
  }

  #knownContent(): KnownContent {
    return {
      configVersion: this.#configVersion(),
      directory: this.#endpoints.position,
    };
  }

  #configVersion(): number {
    return this.#options.configInForce()?.version ?? 0;
  }

  #createEvacuationSync(): EvacuationSync | undefined {
    const { evacuations, settings } = this.#options;
    return evacuations === undefined || settings.evacuateMs === undefined
      ? undefined
      : new EvacuationSync({
        ...this.#options,
        nodeId: settings.nodeId,
        evacuateMs: settings.evacuateMs,
        collection: evacuations,
        maxDirectoryAgeMs: settings.maxDirectoryAgeMs,
        isWatcher: () => this.#watchDuty.isWatcher,
        sendTo: (nodeId, message) => this.#mesh.sendTo(nodeId, message),
        useNewConnections: () => this.#options.useNewEvacuationConnections?.(),
        observeEpoch: (epoch) => this.#observeEpoch(epoch),
      });
  }

  #createWatcher<T>(
    collection: Collection<T>,
    apply: (update: WatchedUpdate<T>) => void,
    latestOnly = false,
  ): CollectionWatcher<T> {
    const { earliestSentMs, logger, observe } = this.#options;
    const watcher = new CollectionWatcher(
      collection,
      Math.random,
      latestOnly,
      earliestSentMs,
    );
    const countCall = (result: string) =>
      observe({
        metric: "directory_calls_total",
        value: 1,
        labels: { kind: collection.label, result },
      });
    watcher.onEpoch((epoch) => this.#observeEpoch(epoch));
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
    watcher.onAnswer((sentMs) => {
      countCall("ok");
      this.#streamRecords.handleDirectoryAnswer();
      this.#options.onAnswer();
      this.#health.recordAnswer(collection.label, sentMs);
    });
    watcher.onFailure(({ historyGone, waitedMs, ...failure }) => {
      countCall("failed");
      logger.log("directory_call_failed", { ...failure, waited_ms: waitedMs });
      if (historyGone) {
        return;
      }
      this.#health.recordFailure(collection.label);
    });
    return watcher;
  }

  /**
   * Reads the collections again if the directory was restored from an older
   * copy. Watch calls that are pending may otherwise never return.
   */
  #observeEpoch(epoch: number): void {
    if (this.#health.observeEpoch(epoch)) {
      this.#configs.advanceToEpoch(epoch);
      this.#endpointWatcher.advanceToEpoch(epoch);
      this.#evacuations?.advanceToEpoch(epoch);
    }
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
      // Announces only the version number; peers that do not get the configuration
      // from the directory query it. Sending the content to all peers would
      // saturate the network links of small instances.
      this.#broadcastState();
    }
  }

  #handleMessage(nodeId: string, message: Message): void {
    switch (message.type) {
      case "fleet_state":
        this.#mesh.mergeRouters(message.routers);
        this.#options.push({
          type: "peer_loads_received",
          nowMs: this.#options.clock.nowMs(),
          peerId: nodeId,
          inFlight: message.inFlight,
        });
        this.#handlePeerContent(nodeId, message);
        this.#evacuations?.comparePosition(nodeId, message.evacuations, false);
        break;
      case "fleet_warmth":
        this.#options.push({
          type: "prompt_cache_entries_received",
          sentAtMs: this.#options.clock.nowMs(),
          entries: message.entries,
        });
        break;
      case "fleet_query":
        this.#answerQuery(nodeId, message);
        if (message.wantsWarmth) {
          this.#sendPromptCache(nodeId);
        }
        break;
      case "fleet_content":
        this.#applyContent(nodeId, message);
        break;
      case "fleet_streams":
        this.#streamOrigins.handleOrigins(nodeId, message);
        if (message.toStore) {
          this.#streamRecords.recordForOther(
            message.origins.map(streamRecordOf),
            message.wantsConfirmation ? nodeId : undefined,
          );
        }
        break;
      case "fleet_streams_stored":
        this.#streamRecords.handleConfirmation(message.callIds);
        break;
      case "fleet_stream_query":
        this.#streamOrigins.answerQuery(nodeId, message);
        break;
      case "fleet_limits":
        this.#endpointReports.receiveLimits(nodeId, message.limits);
        break;
      case "fleet_suspects":
        this.#endpointReports.receiveSuspects(nodeId, message.suspects);
        break;
      case "fleet_watching":
        this.#handleWatcherReport(nodeId, message);
        this.#evacuations?.comparePosition(nodeId, message.evacuations, true);
        break;
      case "fleet_evacuations":
        this.#evacuations?.receive(nodeId, message);
        break;
      case "fleet_change":
        this.#endpoints.applyChange(nodeId, message);
        break;
    }
  }

  /** The router with the lowest id writes, or knows one with a lower id. */
  #relayStreamRecords(records: readonly StreamRecord[]): void {
    const [lowestId] = [...this.#mesh.connectedIds].sort();
    if (lowestId !== undefined) {
      this.#mesh.sendTo(lowestId, {
        type: "fleet_streams",
        origins: records.map(({ callId, origin }) => ({ callId, ...origin })),
        toStore: true,
        wantsConfirmation: true,
      });
    }
  }

  /** Tells the other routers that this one confirmed its view. */
  #reportWatching(): void {
    if (!this.#watchDuty.isConfirmed) {
      return;
    }
    const { epoch, revision } = this.#endpoints.lastChange;
    const evacuations = this.#evacuations?.confirmedPosition;
    this.#mesh.broadcast({
      type: "fleet_watching",
      directoryRevision: revision,
      directoryEpoch: epoch,
      ...(this.#watchDuty.confirmsConfig
        ? { configVersion: this.#configVersion() }
        : {}),
      ...(evacuations ? { evacuations } : {}),
    });
  }

  #handleWatcherReport(
    nodeId: string,
    report: MessageOf<"fleet_watching">,
  ): void {
    this.#watchDuty.recordWatcher(nodeId);
    const reported = {
      epoch: report.directoryEpoch,
      revision: report.directoryRevision,
    };
    if (isLaterPosition(reported, this.#endpoints.position)) {
      this.#handlePeerContent(nodeId, { ...report, configVersion: 0 });
      return;
    }
    const { configs, endpoints } = this.#options;
    this.#health.recordConfirmation(
      [
        endpoints.label,
        ...(report.configVersion === this.#configVersion()
          ? [configs.label]
          : []),
      ],
      this.#options.earliestSentMs(AWAITED_ALWAYS),
    );
  }

  /** Queries the peer if this router has been behind it for too long. */
  #handlePeerContent(nodeId: string, peer: ContentFields): void {
    if (peer.directoryRevision > 0) {
      this.#observeEpoch(peer.directoryEpoch);
    }
    const own = this.#knownContent();
    if (peer.configVersion > own.configVersion) {
      this.#options.push({
        type: "config_announced",
        version: peer.configVersion,
      });
    }
    const canServe = own.configVersion > 0 && !this.#endpoints.isUninitialized;
    const usualTransferMs = canServe ? this.#configs.usualChangeMs : undefined;
    if (
      this.#catchUp.shouldQuery(
        nodeId,
        knownContentOf(peer),
        own,
        usualTransferMs,
      )
    ) {
      this.#mesh.sendTo(nodeId, this.#query());
    }
  }

  /** Answers also if there is nothing newer, so that the peer does not wait. */
  #answerQuery(nodeId: string, query: ContentFields): void {
    const config = this.#options.configInForce();
    const hasNewerConfig = config && config.version > query.configVersion;
    const hasNewerDirectory = isLaterPosition(
      this.#endpoints.lastChange,
      knownContentOf(query).directory,
    );
    this.#mesh.sendTo(nodeId, {
      type: "fleet_content",
      ...(hasNewerConfig ? { config } : {}),
      ...(hasNewerDirectory ? { directory: this.#endpoints.snapshot() } : {}),
    });
  }

  #applyContent(
    nodeId: string,
    { config, directory }: Extract<Message, { type: "fleet_content" }>,
  ): void {
    this.#catchUp.endQuery(nodeId);
    if (config && config.version > this.#configVersion()) {
      this.#applyConfig(config, `peer ${nodeId}`);
    }
    if (directory) {
      this.#observeEpoch(directory.directoryEpoch);
      this.#endpoints.applySnapshot(nodeId, directory);
    }
  }
}

function knownContentOf(
  { configVersion, directoryEpoch, directoryRevision }: ContentFields,
): KnownContent {
  return {
    configVersion,
    directory: { epoch: directoryEpoch, revision: directoryRevision },
  };
}
