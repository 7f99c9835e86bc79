import { z } from "zod";

const partId = z.string().min(1).max(128);

/** Prompt parts that an endpoint is assumed to have cached. */
export const PromptCacheEntrySchema = z.object({
  endpointId: z.string().min(1).max(253),
  incarnation: z.number(),
  parts: z.array(z.object({ id: partId, tokens: z.number().nonnegative() })),
});
export type PromptCacheEntry = z.infer<typeof PromptCacheEntrySchema>;

/** Id and size of a prompt part. */
export interface SizedPart {
  readonly id: string;
  readonly tokens: number;
}

/** Number of tokens of all parts together. */
export function sumTokens(parts: readonly SizedPart[]): number {
  return parts.reduce((total, { tokens }) => total + tokens, 0);
}

/**
 * Larger numbers of tokens count as this. Sums of them would be infinite, and no
 * longer tell endpoints apart.
 */
export const MAX_PROMPT_TOKENS = 1_000_000_000;

/**
 * Maximum number of parts recorded for all endpoints together; bounds memory.
 */
const MAX_PARTS = 150_000;

/** Maximum number of parts recorded for one endpoint. */
const MAX_PARTS_PER_ENDPOINT = 4000;

/**
 * Fraction of an engine's cache assumed to hold prompt prefixes that several
 * requests reuse.
 */
const SHARED_PARTS_FRACTION = 0.6;

interface EndpointParts {
  readonly incarnation: number;
  /** Number of tokens by id of the part; least recently used part first. */
  readonly tokensByPart: Map<string, number>;
  totalTokens: number;
}

/**
 * Estimates which shared prompt parts each endpoint has cached, from the
 * requests that were sent to it. Cache events of engines are not used: they
 * arrive late and with gaps, and each subscriber costs the engine work. A
 * router knows at once what it has sent.
 */
export class PromptCacheIndex {
  readonly #endpoints = new Map<string, EndpointParts>();

  /**
   * Records that an endpoint processes these parts and therefore caches them.
   * Has no effect if a newer incarnation of the endpoint is known.
   *
   * @param capacityTokens Size of the endpoint's cache in tokens, if known.
   * @returns The parts that were not recorded for the endpoint before.
   */
  record(
    endpointId: string,
    incarnation: number,
    parts: readonly SizedPart[],
    capacityTokens: number | undefined,
  ): SizedPart[] {
    const cached = this.#partsOf(endpointId, incarnation);
    if (!cached) {
      return [];
    }
    const added: SizedPart[] = [];
    for (const part of parts) {
      const tokens = Math.min(part.tokens, MAX_PROMPT_TOKENS);
      const previousTokens = cached.tokensByPart.get(part.id);
      cached.tokensByPart.delete(part.id);
      cached.tokensByPart.set(part.id, tokens);
      cached.totalTokens += tokens - (previousTokens ?? 0);
      if (previousTokens === undefined) {
        added.push(part);
      }
    }
    this.#evict(cached, capacityTokens);
    return added;
  }

  /**
   * Number of tokens in the prefix of a prompt that the endpoint has cached. A
   * part counts only if all parts before it are cached too.
   */
  cachedTokens(
    endpointId: string,
    incarnation: number,
    parts: readonly SizedPart[],
  ): number {
    const cached = this.#endpoints.get(endpointId);
    if (!cached || cached.incarnation !== incarnation) {
      return 0;
    }
    let tokens = 0;
    for (const part of parts) {
      if (!cached.tokensByPart.has(part.id)) {
        break;
      }
      tokens += part.tokens;
    }
    return tokens;
  }

  /**
   * Recorded tokens of an endpoint as a fraction of those that it can keep; 0 to
   * 1. 0 if the size of its cache is not known.
   */
  fill(
    endpointId: string,
    incarnation: number,
    capacityTokens: number | undefined,
  ): number {
    const cached = this.#endpoints.get(endpointId);
    if (!cached || cached.incarnation !== incarnation || !capacityTokens) {
      return 0;
    }
    return Math.min(
      1,
      cached.totalTokens / (capacityTokens * SHARED_PARTS_FRACTION),
    );
  }

  /** Removes all parts recorded for an endpoint. */
  removeEndpoint(endpointId: string): void {
    this.#endpoints.delete(endpointId);
  }

  /** All recorded parts by endpoint, to send to peers or to save. */
  entries(): PromptCacheEntry[] {
    return [...this.#endpoints].map(([endpointId, cached]) => ({
      endpointId,
      incarnation: cached.incarnation,
      parts: [...cached.tokensByPart].map(([id, tokens]) => ({ id, tokens })),
    }));
  }

  /**
   * Returns the parts recorded for an incarnation of an endpoint. Creates an
   * empty record on first use. Returns undefined if a newer incarnation is
   * known.
   */
  #partsOf(endpointId: string, incarnation: number): EndpointParts | undefined {
    const known = this.#endpoints.get(endpointId);
    if (known && known.incarnation > incarnation) {
      return undefined;
    }
    if (known?.incarnation === incarnation) {
      return known;
    }
    const created = { incarnation, tokensByPart: new Map(), totalTokens: 0 };
    this.#endpoints.set(endpointId, created);
    return created;
  }

  #evict(cached: EndpointParts, capacityTokens: number | undefined): void {
    const maxTokens = (capacityTokens ?? Number.POSITIVE_INFINITY) *
      SHARED_PARTS_FRACTION;
    const maxParts = Math.min(
      MAX_PARTS_PER_ENDPOINT,
      MAX_PARTS / Math.max(1, this.#endpoints.size),
    );
    for (const [id, tokens] of cached.tokensByPart) {
      if (
        cached.totalTokens <= maxTokens && cached.tokensByPart.size <= maxParts
      ) {
        return;
      }
      cached.tokensByPart.delete(id);
      cached.totalTokens -= tokens;
    }
  }
}
