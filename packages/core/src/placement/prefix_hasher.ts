import xxhash, { type XXHashAPI } from "xxhash-wasm";

/** Number of characters that engines count as one token. */
export const CHARS_PER_TOKEN = 4;

/** Number of characters in one block of an engine's prefix cache. */
export const BLOCK_CHARS = 1024;

/** Number of tokens in one block of an engine's prefix cache. */
export const BLOCK_TOKENS = BLOCK_CHARS / CHARS_PER_TOKEN;

/** The fields of a chat message that become part of the prompt. */
export interface PromptMessage {
  readonly role: string;
  readonly content: string;
}

/** Estimated number of tokens of a text, rounded up. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARS_PER_TOKEN);
}

/**
 * Text that engines build from the messages: role and content, each on a line.
 */
export function promptText(messages: readonly PromptMessage[]): string {
  return messages
    .map((message) => `${message.role}\n${message.content}\n`)
    .join("");
}

/**
 * Computes the hashes by which engines identify the blocks of their prefix
 * cache. Each hash covers its block and all blocks before it.
 */
export class PrefixHasher {
  readonly #xxhash: XXHashAPI;

  constructor(api: XXHashAPI) {
    this.#xxhash = api;
  }

  /** Hashes of the complete blocks of a prompt, in prompt order. */
  blockHashes(messages: readonly PromptMessage[]): bigint[] {
    const text = promptText(messages);
    const hashes: bigint[] = [];
    let previous = 0n;
    for (let end = BLOCK_CHARS; end <= text.length; end += BLOCK_CHARS) {
      previous = this.#xxhash.h64(text.slice(end - BLOCK_CHARS, end), previous);
      hashes.push(previous);
    }
    return hashes;
  }
}

/** Loads the WebAssembly module once and returns a hasher that uses it. */
export async function createPrefixHasher(): Promise<PrefixHasher> {
  return new PrefixHasher(await xxhash());
}
