import type {
  Clock,
  DirectEvent,
  Millis,
  ServiceVersions,
  StoredStreams,
  StreamOrigin,
  StreamRecord,
} from "@anvildeal/core";
import { z } from "zod";
import type { Logger } from "../logging/index.js";
import type { Disposable } from "../net/index.js";
import type { DocumentFolder, StoredDocument } from "./document_folder.js";
import { OwnStreamRecords } from "./own_stream_records.js";

/** Name of the document with the versions that serve or served of late. */
const VERSIONS_NAME = "versions";

/**
 * Records are written in turn to this many documents of a writer. The oldest is
 * overwritten when all streams in it have ended.
 */
const DOCUMENT_COUNT = 120;

/** Maximum number of streams in a document; it must fit into one object. */
const MAX_STREAMS_PER_DOCUMENT = 5000;

/** Maximum number of records that wait; the oldest ones are dropped. */
const MAX_PENDING = 20_000;

/** Delay for which records are collected before they go to the writer. */
const RELAY_DELAY_MS: Millis = 10;

/**
 * Minimum time between two writes, since the platform charges for each. What is
 * not written when all routers are lost is unknown afterwards.
 */
const WRITE_INTERVAL_MS: Millis = 100;

/**
 * Time after which a write without an answer no longer holds up the next one. Its
 * connection may have fallen silent.
 */
const UNANSWERED_MS: Millis = 400;

/**
 * A router without connections to others is the writer only after this time, since
 * all routers may have just started.
 */
const ALONE_AFTER_MS: Millis = 1500;

/**
 * A read within this time after another one would tell hardly anything new: the
 * other routers know what was written since.
 */
const MIN_READ_INTERVAL_MS: Millis = 3000;

/** Time after a failed read in which no other one is made. */
const READ_RETRY_MS: Millis = 1000;

const NO_RECORDS: StoredStreams = { streams: [], versions: [] };

/** No header of HTTP has this character, so no call id has it. */
const CALL_ID_SEPARATOR = "\n";

const LABEL = "streams";

const StreamsSchema = z.object({
  origins: z.array(z.object({
    service: z.string(),
    softwareVersion: z.string().optional(),
    isUncertain: z.boolean().optional(),
    /** Joined by line ends, since one text is checked faster than many. */
    callIds: z.string(),
  })),
});

const VersionsSchema = z.object({
  services: z.array(z.object({
    service: z.string(),
    versions: z.array(z.string()),
  })),
});

export interface StreamRecordPersistenceOptions {
  readonly folder: DocumentFolder;
  readonly logger: Logger;
  readonly clock: Clock;
  /** Prefix of the names of this router's documents; several may share one. */
  readonly namePrefix: string;
  /** Prefix of the names of documents that no other router writes. */
  readonly ownNamePrefix: string;
  /** Whether this router's id is the lowest of those that it is connected to. */
  readonly hasLowestConnectedId: () => boolean;
  readonly connectedCount: () => number;
  /** Whether other calls to the directory have just failed. */
  readonly isDirectoryFailing: () => boolean;
  /**
   * Sends records to the router with the lowest id of the connected ones, which
   * confirms that they are stored.
   */
  readonly relay: (records: readonly StreamRecord[]) => void;
  /** Tells a router that records which it sent are stored. */
  readonly confirm: (nodeId: string, callIds: readonly string[]) => void;
  /** Versions that serve or served of late. */
  readonly versions: () => readonly ServiceVersions[];
  readonly push: (event: DirectEvent) => void;
}

/** A record that is to be written. */
interface PendingRecord {
  readonly record: StreamRecord;
  /** Id of the router that waits for a confirmation. */
  readonly confirmTo: string | undefined;
}

/** A record that is stored, by the id of its call. */
interface Confirmation extends Pick<PendingRecord, "confirmTo"> {
  readonly callId: string;
}

/**
 * Keeps in the directory which software versions serve and, while there are
 * several of a service, which of them began each stream. Routers that all restart
 * at once read it when a caller takes a stream up.
 *
 * One router writes for those that are connected to it, so the number of calls
 * does not grow with the fleet. Only what it does not confirm is written by the
 * router at which the stream began.
 */
export class StreamRecordPersistence implements Disposable {
  readonly #options: StreamRecordPersistenceOptions;
  readonly #startedMs: Millis;
  readonly #own: OwnStreamRecords;
  /** Routers that wait for a confirmation of what this one passed on. */
  readonly #passedOn = new Map<string, string>();
  #pending: PendingRecord[] = [];
  #timer: NodeJS.Timeout | undefined;
  #lastWriteMs: Millis = Number.NEGATIVE_INFINITY;
  #isReading = false;
  #lastReadMs: Millis = Number.NEGATIVE_INFINITY;
  #lastFailedReadMs: Millis = Number.NEGATIVE_INFINITY;
  /** Names for the next documents, the one to be written first at the front. */
  #names: string[] | undefined;
  readonly #existingNames = new Set<string>();
  /** The versions as this router stored or read them, as text. */
  #storedVersions = "";
  #isWritingVersions = false;
  /** Number of writes of streams without an answer so far. */
  #unansweredCount = 0;

  constructor(options: StreamRecordPersistenceOptions) {
    this.#options = options;
    this.#startedMs = options.clock.nowMs();
    this.#own = new OwnStreamRecords({
      ...options,
      write: (documentIndex, records) =>
        this.#writeDocument(
          `${options.ownNamePrefix}-${documentIndex}`,
          encodeStreams(records),
        ),
      onFailure: (error) => this.#logFailure("write", error),
      onUnconfirmed: (records, oldestMs, unsuccessful) =>
        options.logger.log("stream_records_unconfirmed", {
          records,
          oldest_ms: Math.round(oldestMs),
          unsuccessful,
        }),
    });
  }

  /** Sees to it that the records are stored, by this router or another one. */
  record(records: readonly StreamRecord[]): void {
    this.#own.add(records);
    this.#addPending(records, undefined);
  }

  /**
   * Stores records of another router.
   *
   * @param confirmTo Id of the router, if it waits for a confirmation.
   */
  recordForOther(
    records: readonly StreamRecord[],
    confirmTo: string | undefined,
  ): void {
    this.#addPending(records, confirmTo);
  }

  /** Another router has stored what this one sent. */
  handleConfirmation(callIds: readonly string[]): void {
    this.#confirm(callIds.map((callId) => ({
      callId,
      confirmTo: this.#passedOn.get(callId),
    })));
    callIds.forEach((callId) => this.#passedOn.delete(callId));
  }

  /** Call it after each successful call to the directory. */
  handleDirectoryAnswer(): void {
    this.#own.handleDirectoryAnswer();
  }

  /** Reads what is stored; the result is an event `stream_records_read`. */
  read(): void {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs - this.#lastReadMs < MIN_READ_INTERVAL_MS) {
      this.#pushRead(NO_RECORDS);
    } else if (nowMs - this.#lastFailedReadMs < READ_RETRY_MS) {
      this.#pushRead(undefined);
    } else if (!this.#isReading) {
      void this.#read();
    }
  }

  /**
   * Sends records on or, if this router is the writer, writes what has changed.
   * Call periodically; records need not wait for that.
   */
  tick(): void {
    this.#relay();
    if (!this.#isWriter || this.#untilWriteMs() > 0) {
      return;
    }
    if (this.#names === undefined) {
      this.read();
      return;
    }
    void this.#writeVersions();
    if (this.#pending.length > 0) {
      void this.#writeStreams(this.#names);
    }
  }

  /** Stores the versions again after the directory was restored from a copy. */
  storeAgain(): void {
    this.#storedVersions = "";
  }

  dispose(): void {
    clearTimeout(this.#timer);
    this.#own.dispose();
  }

  #addPending(
    records: readonly StreamRecord[],
    confirmTo: string | undefined,
  ): void {
    const added = records.map((record) => ({ record, confirmTo }));
    this.#pending = [...this.#pending, ...added].slice(-MAX_PENDING);
    this.#schedule();
  }

  #schedule(): void {
    const delayMs = Math.max(RELAY_DELAY_MS, this.#untilWriteMs());
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.tick();
    }, delayMs);
  }

  /** Time until this router may write again; not positive if it may now. */
  #untilWriteMs(): Millis {
    const intervalMs = this.#unansweredCount > 0
      ? UNANSWERED_MS
      : WRITE_INTERVAL_MS;
    return this.#lastWriteMs + intervalMs - this.#options.clock.nowMs();
  }

  get #isWriter(): boolean {
    const { clock, connectedCount, hasLowestConnectedId } = this.#options;
    return connectedCount() > 0
      ? hasLowestConnectedId()
      : clock.nowMs() - this.#startedMs >= ALONE_AFTER_MS;
  }

  #relay(): void {
    const { connectedCount, hasLowestConnectedId, relay } = this.#options;
    if (
      this.#pending.length > 0 && connectedCount() > 0 &&
      !hasLowestConnectedId()
    ) {
      relay(this.#pending.map(({ record }) => record));
      this.#pending.forEach((each) => this.#notePassedOn(each));
      this.#pending = [];
    }
  }

  #notePassedOn({ confirmTo, record: { callId } }: PendingRecord): void {
    if (confirmTo === undefined) {
      return;
    }
    this.#passedOn.set(callId, confirmTo);
    if (this.#passedOn.size > MAX_PENDING) {
      const [oldest] = this.#passedOn.keys();
      this.#passedOn.delete(oldest!);
    }
  }

  async #read(): Promise<void> {
    this.#isReading = true;
    const startedMs = this.#options.clock.nowMs();
    let records: StoredStreams | undefined;
    try {
      const documents = await this.#options.folder.list();
      records = this.#decode(documents);
      this.#noteNames(documents);
      this.#lastReadMs = this.#options.clock.nowMs();
      this.#options.logger.log("stream_records_read", {
        streams: records.streams.length,
        documents: documents.length,
        took_ms: Math.round(this.#lastReadMs - startedMs),
      });
    } catch (error) {
      this.#lastFailedReadMs = this.#options.clock.nowMs();
      this.#logFailure("read", error);
    } finally {
      this.#isReading = false;
    }
    this.#pushRead(records);
  }

  #pushRead(records: StoredStreams | undefined): void {
    this.#options.push({
      type: "stream_records_read",
      nowMs: this.#options.clock.nowMs(),
      ...(records ? { records } : {}),
    });
  }

  async #writeVersions(): Promise<void> {
    const versions = encodeVersions(this.#options.versions());
    if (this.#isWritingVersions || versions === this.#storedVersions) {
      return;
    }
    this.#isWritingVersions = true;
    try {
      await this.#writeDocument(VERSIONS_NAME, JSON.parse(versions));
      this.#storedVersions = versions;
    } catch (error) {
      this.#logFailure("write", error);
    } finally {
      this.#isWritingVersions = false;
    }
  }

  async #writeStreams(names: string[]): Promise<void> {
    this.#lastWriteMs = this.#options.clock.nowMs();
    this.#unansweredCount++;
    this.#schedule();
    const written = new Set(this.#pending.slice(0, MAX_STREAMS_PER_DOCUMENT));
    try {
      const name = names.shift()!;
      names.push(name);
      const records = [...written].map(({ record }) => record);
      await this.#writeDocument(name, encodeStreams(records));
      this.#pending = this.#pending.filter((each) => !written.has(each));
      this.#confirm([...written].map(({ confirmTo, record: { callId } }) => ({
        callId,
        confirmTo,
      })));
    } catch (error) {
      this.#logFailure("write", error);
    } finally {
      this.#unansweredCount--;
      clearTimeout(this.#timer);
      this.#timer = undefined;
    }
    if (this.#pending.length > 0) {
      this.#schedule();
    }
  }

  /** Tells the routers whose records were written. */
  #confirm(written: readonly Confirmation[]): void {
    const callIdsByRouter = new Map<string | undefined, string[]>();
    for (const { callId, confirmTo } of written) {
      const callIds = callIdsByRouter.get(confirmTo) ?? [];
      callIdsByRouter.set(confirmTo, callIds);
      callIds.push(callId);
    }
    for (const [nodeId, callIds] of callIdsByRouter) {
      if (nodeId === undefined) {
        this.#own.confirm(callIds);
      } else {
        this.#options.confirm(nodeId, callIds);
      }
    }
  }

  async #writeDocument(name: string, value: unknown): Promise<void> {
    await this.#options.folder.write(
      name,
      value,
      this.#existingNames.has(name),
    );
    this.#existingNames.add(name);
  }

  /** Leaves out a document that cannot be read, so that the others hold. */
  #decode(documents: readonly StoredDocument[]): StoredStreams {
    const versions = documents.filter(({ name }) => name === VERSIONS_NAME)
      .flatMap((document) =>
        this.#parse(VersionsSchema, document)?.services ?? []
      );
    const streams = documents.filter(({ name }) => name !== VERSIONS_NAME)
      .flatMap((document) =>
        this.#parse(StreamsSchema, document)?.origins ?? []
      )
      .flatMap(({ callIds, isUncertain, service, softwareVersion }) =>
        callIds.split(CALL_ID_SEPARATOR).map((callId) => ({
          callId,
          origin: {
            service,
            softwareVersion,
            ...(isUncertain ? { isUncertain } : {}),
          },
        }))
      );
    return { streams, versions };
  }

  #parse<S extends z.ZodType>(
    schema: S,
    { name, value }: StoredDocument,
  ): z.infer<S> | undefined {
    const { data, error } = schema.safeParse(value);
    if (error) {
      this.#options.logger.log("record_ignored", {
        collection: LABEL,
        record: name,
        detail: z.prettifyError(error),
      });
    }
    return data;
  }

  /** Orders the names so that the oldest records are overwritten first. */
  #noteNames(documents: readonly StoredDocument[]): void {
    const revisions = new Map(
      documents.map(({ name, revision }) => [name, revision]),
    );
    revisions.forEach((_, name) => this.#existingNames.add(name));
    this.#names ??= Array.from(
      { length: DOCUMENT_COUNT },
      (_, i) => `${this.#options.namePrefix}-${i}`,
    ).sort((a, b) => (revisions.get(a) ?? 0) - (revisions.get(b) ?? 0));
    const stored = documents.find(({ name }) => name === VERSIONS_NAME);
    const decoded = VersionsSchema.safeParse(stored?.value).data;
    this.#storedVersions = decoded ? encodeVersions(decoded.services) : "";
  }

  #logFailure(call: "read" | "write", error: unknown): void {
    this.#options.logger.log("directory_call_failed", {
      label: LABEL,
      call,
      detail: error instanceof Error ? error.message : String(error),
    });
  }
}

function encodeVersions(services: readonly ServiceVersions[]): string {
  return JSON.stringify({
    services: services.map(({ service, versions }) => ({ service, versions })),
  });
}

function encodeStreams(
  records: readonly StreamRecord[],
): z.infer<typeof StreamsSchema> {
  const groups = new Map<
    string,
    { readonly origin: StreamOrigin; readonly callIds: string[] }
  >();
  for (const { callId, origin } of records) {
    const key = JSON.stringify([
      origin.service,
      origin.softwareVersion,
      origin.isUncertain,
    ]);
    const group = groups.get(key) ?? { origin, callIds: [] };
    groups.set(key, group);
    group.callIds.push(callId);
  }
  return {
    origins: [...groups.values()].map(({ callIds, origin }) => ({
      ...origin,
      callIds: callIds.join(CALL_ID_SEPARATOR),
    })),
  };
}
