import {
  type Millis,
  type PromptCacheEntry,
  PromptCacheEntrySchema,
} from "@anvildeal/core";
import { z } from "zod";
import type { Logger } from "../logging/index.js";
import type { Disposable } from "../net/index.js";
import type { SharedDocument } from "./shared_document.js";

const FIRST_RETRY_MS: Millis = 300;
const MAX_RETRY_MS: Millis = 3000;

/**
 * Number of failed reads after which no timer retries any more. The next read
 * then happens when the directory answers another call.
 */
const MAX_READ_ATTEMPTS = 6;

/** Minimum time between two writes, since the platform charges for each write. */
const WRITE_INTERVAL_MS: Millis = 1000;

/**
 * Maximum number of prompt parts in the document. The document must fit into
 * one stored object.
 */
const MAX_STORED_PARTS = 20_000;

/** Parts are stored as pairs of id and tokens to keep the document small. */
const DocumentSchema = z.object({
  entries: z.array(z.object({
    endpoint: z.string(),
    incarnation: z.number(),
    parts: z.array(z.tuple([z.string(), z.number()])),
  })),
});

export interface PromptCachePersistenceOptions {
  readonly document: SharedDocument;
  readonly logger: Logger;
  /** Returns the entries to write: those of the known endpoints. */
  readonly entries: () => readonly PromptCacheEntry[];
  /** Called with the entries of the stored document. */
  readonly onRead: (entries: readonly PromptCacheEntry[]) => void;
  /** Whether this router is the one that writes the document for the fleet. */
  readonly isWriter: () => boolean;
}

/**
 * Persists the prompt cache contents of endpoints in the directory.
 * Routers that all restart at once then still send chats to the endpoints whose
 * caches contain their prompts.
 *
 * The document is a hint: a lost or outdated write only makes an endpoint process
 * the start of a prompt again, so writes are unconditional.
 */
export class PromptCachePersistence implements Disposable {
  readonly #options: PromptCachePersistenceOptions;
  #failedReads = 0;
  #retryMs: Millis = FIRST_RETRY_MS;
  #retryTimer: NodeJS.Timeout | undefined;
  /** The last read failed, and no other read has begun since. */
  #readFailed = false;
  #writeDelayTimer: NodeJS.Timeout | undefined;
  /** Whether the stored document was read; until then it is not replaced. */
  #hasRead = false;
  #changed = false;
  #writing = false;
  #disposed = false;

  constructor(options: PromptCachePersistenceOptions) {
    this.#options = options;
  }

  /** Reads the document in the background; failures are logged and retried. */
  start(): void {
    void this.#read();
  }

  /**
   * Reads the document immediately if the last read failed: a router that
   * started during an outage must know the cache contents before requests
   * arrive. Call it after each successful call to the directory.
   */
  handleDirectoryAnswer(): void {
    if (this.#readFailed) {
      clearTimeout(this.#retryTimer);
      void this.#read();
    }
  }

  /** Requests a write, which {@link writeIfDue} makes. */
  markChanged(): void {
    this.#changed = true;
  }

  /**
   * Writes the document if the entries changed, this router is the writer and has
   * read the document, and the minimum time since the last write has passed. Call periodically.
   */
  writeIfDue(): void {
    if (
      !this.#changed || !this.#hasRead || this.#writing ||
      this.#writeDelayTimer !== undefined || !this.#options.isWriter()
    ) {
      return;
    }
    this.#changed = false;
    void this.#write();
  }

  dispose(): void {
    this.#disposed = true;
    this.#readFailed = false;
    clearTimeout(this.#retryTimer);
    clearTimeout(this.#writeDelayTimer);
  }

  async #read(): Promise<void> {
    const { document, logger, onRead } = this.#options;
    this.#readFailed = false;
    try {
      const value = await document.read();
      this.#hasRead = true;
      if (value !== undefined) {
        onRead(decode(value));
      }
    } catch (error) {
      logger.log("directory_call_failed", {
        label: "warmth",
        call: "read",
        detail: error instanceof Error ? error.message : String(error),
      });
      this.#readFailed = !this.#disposed;
      this.#failedReads++;
      if (!this.#disposed && this.#failedReads < MAX_READ_ATTEMPTS) {
        this.#retryTimer = setTimeout(() => void this.#read(), this.#retryMs);
        this.#retryTimer.unref();
        this.#retryMs = Math.min(MAX_RETRY_MS, this.#retryMs * 2);
      }
    }
  }

  async #write(): Promise<void> {
    const { document, entries, logger } = this.#options;
    this.#writing = true;
    try {
      await document.write(encode(entries()));
    } catch (error) {
      this.#changed = true;
      logger.log("directory_call_failed", {
        label: "warmth",
        call: "write",
        detail: error instanceof Error ? error.message : String(error),
      });
    } finally {
      this.#writing = false;
    }
    if (!this.#disposed) {
      this.#writeDelayTimer = setTimeout(() => {
        this.#writeDelayTimer = undefined;
      }, WRITE_INTERVAL_MS);
    }
  }
}

function encode(
  entries: readonly PromptCacheEntry[],
): z.infer<typeof DocumentSchema> {
  const partsPerEndpoint = Math.max(
    1,
    Math.floor(MAX_STORED_PARTS / entries.length),
  );
  return {
    entries: entries.map(({ endpointId, incarnation, parts }) => ({
      endpoint: endpointId,
      incarnation,
      // The last parts are the most recently used ones.
      parts: parts.slice(-partsPerEndpoint).map((
        { id, tokens },
      ): [string, number] => [
        id,
        tokens,
      ]),
    })),
  };
}

function decode(value: unknown): PromptCacheEntry[] {
  return DocumentSchema.parse(value).entries.map((entry) =>
    PromptCacheEntrySchema.parse({
      endpointId: entry.endpoint,
      incarnation: entry.incarnation,
      parts: entry.parts.map(([id, tokens]) => ({ id, tokens })),
    })
  );
}
