import { z } from "zod";

const partId = z.string().min(1).max(128);

/** Shared prompt parts that an endpoint is taken to hold in its cache. */
export const PromptCacheEntrySchema = z.object({
  endpointId: z.string().min(1).max(253),
  incarnation: z.number(),
  parts: z.array(z.object({ id: partId, tokens: z.number().nonnegative() })),
});
export type PromptCacheEntry = z.infer<typeof PromptCacheEntrySchema>;

/** A prompt part with its size. */
export interface SizedPart {
  readonly id: string;
  readonly tokens: number;
}

/** Parts remembered over all endpoints, which bounds the memory. */
const MAX_PARTS = 150_000;

/** Parts remembered of one endpoint at the most. */
const MAX_PARTS_PER_ENDPOINT = 4000;

/** Part of an engine's cache that is taken to hold shared prompt parts. */
const CACHE_SHARE = 0.6;

interface EndpointParts {
  readonly incarnation: number;
  /** Tokens by part, the least recently used first. */
  readonly tokens: Map<string, number>;
  totalTokens: number;
}

/**
 * Which endpoint holds which shared prompt parts, from the requests that were
 * sent to it. Engines tell their cache events late and with gaps, and each
 * listener costs the engine work; what was sent is known at once.
 */
export class PromptCacheIndex {
  readonly #endpoints = new Map<string, EndpointParts>();

  /**
   * Notes that an endpoint reads these parts.
   *
   * @param capacityTokens Size of the endpoint's cache, if known.
   * @returns The parts that were not known to be there.
   */
  note(
    endpointId: string,
    incarnation: number,
    parts: readonly SizedPart[],
    capacityTokens: number | undefined,
  ): SizedPart[] {
    const held = this.#of(endpointId, incarnation);
    if (!held) {
      return [];
    }
    const added: SizedPart[] = [];
    for (const part of parts) {
      const before = held.tokens.get(part.id);
      held.tokens.delete(part.id);
      held.tokens.set(part.id, part.tokens);
      held.totalTokens += part.tokens - (before ?? 0);
      if (before === undefined) {
        added.push(part);
      }
    }
    this.#evict(held, capacityTokens);
    return added;
  }

  /**
   * Tokens of the prompt's start that the endpoint holds. A part counts only
   * if all parts before it are held too.
   */
  cachedTokens(
    endpointId: string,
    incarnation: number,
    parts: readonly SizedPart[],
  ): number {
    const held = this.#endpoints.get(endpointId);
    if (!held || held.incarnation !== incarnation) {
      return 0;
    }
    let tokens = 0;
    for (const part of parts) {
      if (!held.tokens.has(part.id)) {
        break;
      }
      tokens += part.tokens;
    }
    return tokens;
  }

  /** Forgets an endpoint that is gone or started again. */
  forget(endpointId: string): void {
    this.#endpoints.delete(endpointId);
  }

  /** Everything known, for a router that has just joined. */
  entries(): PromptCacheEntry[] {
    return [...this.#endpoints].map(([endpointId, held]) => ({
      endpointId,
      incarnation: held.incarnation,
      parts: [...held.tokens].map(([id, tokens]) => ({ id, tokens })),
    }));
  }

  #of(endpointId: string, incarnation: number): EndpointParts | undefined {
    const known = this.#endpoints.get(endpointId);
    if (known && known.incarnation > incarnation) {
      return undefined;
    }
    if (known?.incarnation === incarnation) {
      return known;
    }
    const fresh = { incarnation, tokens: new Map(), totalTokens: 0 };
    this.#endpoints.set(endpointId, fresh);
    return fresh;
  }

  #evict(held: EndpointParts, capacityTokens: number | undefined): void {
    const maxTokens = (capacityTokens ?? Number.POSITIVE_INFINITY) *
      CACHE_SHARE;
    const maxParts = Math.min(
      MAX_PARTS_PER_ENDPOINT,
      MAX_PARTS / Math.max(1, this.#endpoints.size),
    );
    for (const [id, tokens] of held.tokens) {
      if (held.totalTokens <= maxTokens && held.tokens.size <= maxParts) {
        return;
      }
      held.tokens.delete(id);
      held.totalTokens -= tokens;
    }
  }
}
