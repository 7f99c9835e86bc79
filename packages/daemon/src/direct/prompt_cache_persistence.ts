import { type PromptCacheEntry, PromptCacheEntrySchema } from "@anvildeal/core";
import { z } from "zod";
import {
  DocumentPersistence,
  type DocumentPersistenceOptions,
} from "./document_persistence.js";

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

export interface PromptCachePersistenceOptions
  extends DocumentPersistenceOptions {
  /** Returns the entries to write: those of the known endpoints. */
  readonly entries: () => readonly PromptCacheEntry[];
  /** Called with the entries of the stored document. */
  readonly onRead: (entries: readonly PromptCacheEntry[]) => void;
}

/**
 * Persists the prompt cache contents of endpoints in the directory.
 * Routers that all restart at once then still send chats to the endpoints whose
 * caches contain their prompts.
 *
 * The document is a hint: a lost or outdated write only makes an endpoint process
 * the start of a prompt again, so writes are unconditional.
 */
export class PromptCachePersistence extends DocumentPersistence {
  protected override readonly mergesStored = false;
  readonly #entries: PromptCachePersistenceOptions["entries"];
  readonly #onRead: PromptCachePersistenceOptions["onRead"];

  constructor(options: PromptCachePersistenceOptions) {
    super("warmth", options);
    this.#entries = options.entries;
    this.#onRead = options.onRead;
  }

  protected override encode(): unknown {
    return encode(this.#entries());
  }

  protected override apply(value: unknown): void {
    if (value !== undefined) {
      this.#onRead(decode(value));
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
