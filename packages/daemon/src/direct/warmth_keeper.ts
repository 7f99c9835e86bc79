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

/** Reads on the keeper's own account; later ones follow the store's answers. */
const MAX_READS = 6;

/** Least time between two writes; each one is charged. */
const WRITE_INTERVAL_MS: Millis = 1000;

/** Parts that a document holds; it must fit into one stored object. */
const MAX_STORED_PARTS = 20_000;

/** Ids and tokens in pairs, which keeps the document small. */
const DocumentSchema = z.object({
  entries: z.array(z.object({
    endpoint: z.string(),
    incarnation: z.number(),
    parts: z.array(z.tuple([z.string(), z.number()])),
  })),
});

export interface WarmthKeeperOptions {
  readonly document: SharedDocument;
  readonly logger: Logger;
  /** Entries of endpoints that are known and alive. */
  readonly entries: () => readonly PromptCacheEntry[];
  readonly onRead: (entries: readonly PromptCacheEntry[]) => void;
  /** Whether this router writes for the fleet now. */
  readonly isWriter: () => boolean;
}

/**
 * Keeps what endpoints hold in the platform's store, so that routers that lost
 * everything at once still send chats where their context is.
 *
 * The document is advice: a lost or outdated write costs reading a prompt
 * again and nothing else, so writes need no condition.
 */
export class WarmthKeeper implements Disposable {
  readonly #options: WarmthKeeperOptions;
  #reads = 0;
  #retryMs: Millis = FIRST_RETRY_MS;
  #retry: NodeJS.Timeout | undefined;
  /** The document was not read yet, and no read is under way. */
  #unread = false;
  #timer: NodeJS.Timeout | undefined;
  #changed = false;
  #writing = false;
  #disposed = false;

  constructor(options: WarmthKeeperOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#read();
  }

  /**
   * Reads the document at once if reading it failed before: a router that
   * started during an outage must know the caches before calls arrive.
   */
  noteStoreAnswer(): void {
    if (this.#unread) {
      clearTimeout(this.#retry);
      void this.#read();
    }
  }

  /** Writes soon, if this router is the writer then. */
  noteChange(): void {
    this.#changed = true;
  }

  /** Called regularly. */
  maintain(): void {
    if (
      !this.#changed || this.#writing || this.#timer !== undefined ||
      !this.#options.isWriter()
    ) {
      return;
    }
    this.#changed = false;
    void this.#write();
  }

  dispose(): void {
    this.#disposed = true;
    this.#unread = false;
    clearTimeout(this.#retry);
    clearTimeout(this.#timer);
  }

  async #read(): Promise<void> {
    const { document, logger, onRead } = this.#options;
    this.#unread = false;
    try {
      const value = await document.read();
      if (value !== undefined) {
        onRead(decode(value));
      }
    } catch (error) {
      logger.log("directory_call_failed", {
        label: "warmth",
        call: "read",
        detail: error instanceof Error ? error.message : String(error),
      });
      this.#unread = !this.#disposed;
      this.#reads++;
      if (!this.#disposed && this.#reads < MAX_READS) {
        this.#retry = setTimeout(() => void this.#read(), this.#retryMs);
        this.#retry.unref();
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
      this.#timer = setTimeout(() => {
        this.#timer = undefined;
      }, WRITE_INTERVAL_MS);
    }
  }
}

function encode(
  entries: readonly PromptCacheEntry[],
): z.infer<typeof DocumentSchema> {
  const share = Math.max(1, Math.floor(MAX_STORED_PARTS / entries.length));
  return {
    entries: entries.map(({ endpointId, incarnation, parts }) => ({
      endpoint: endpointId,
      incarnation,
      // The last ones were used last.
      parts: parts.slice(-share).map(({ id, tokens }): [string, number] => [
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
