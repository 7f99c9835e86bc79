import {
  type Clock,
  type DirectoryPosition,
  isLaterPosition,
  type Millis,
} from "@anvildeal/core";

/** A router that has been behind its peers for this long queries one of them. */
const QUERY_AFTER_BEHIND_MS: Millis = 300;

/** Longest time for which a router leaves a change to the directory to deliver. */
const MAX_QUERY_DELAY_MS: Millis = 1200;

/**
 * A query that was not answered for this long counts as lost. An answer may hold
 * a large configuration and passes two links that may be slow.
 */
const QUERY_TIMEOUT_MS: Millis = 2000;

/** How much of the configuration and of the endpoints a router knows. */
export interface KnownContent {
  readonly configVersion: number;
  readonly directory: DirectoryPosition;
}

/**
 * Decides when a router that is behind its peers queries one of them. Answers
 * can be large, so only one query is pending at a time, and a router first gives
 * the directory the time that a change usually takes.
 */
export class PeerCatchUp {
  readonly #clock: Clock;
  /** Content of the first peer that was seen ahead; undefined if none is. */
  #behind:
    | { readonly sinceMs: Millis; readonly target: KnownContent }
    | undefined;
  #pending: { readonly nodeId: string; readonly sinceMs: Millis } | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Whether to query a peer now. If so, the query counts as sent.
   *
   * @param usualTransferMs Time that the directory usually takes to deliver a
   *   change; undefined if this router lacks content that it cannot serve
   *   without, so that it queries at once.
   */
  shouldQuery(
    nodeId: string,
    peer: KnownContent,
    own: KnownContent,
    usualTransferMs: Millis | undefined,
  ): boolean {
    if (!isAhead(peer, own)) {
      return false;
    }
    const nowMs = this.#clock.nowMs();
    if (!this.#behind || !isAhead(this.#behind.target, own)) {
      this.#behind = { sinceMs: nowMs, target: peer };
    }
    if (this.#pending && nowMs - this.#pending.sinceMs < QUERY_TIMEOUT_MS) {
      return false;
    }
    const delayMs = usualTransferMs === undefined ? 0 : Math.min(
      MAX_QUERY_DELAY_MS,
      Math.max(QUERY_AFTER_BEHIND_MS, usualTransferMs),
    );
    if (nowMs - this.#behind.sinceMs < delayMs) {
      return false;
    }
    this.recordQuery(nodeId);
    return true;
  }

  /** Records that a query was sent to a peer. */
  recordQuery(nodeId: string): void {
    this.#pending = { nodeId, sinceMs: this.#clock.nowMs() };
  }

  /** Records that a peer sent content or was disconnected. */
  endQuery(nodeId: string): void {
    if (this.#pending?.nodeId === nodeId) {
      this.#pending = undefined;
    }
  }
}

function isAhead(a: KnownContent, b: KnownContent): boolean {
  return a.configVersion > b.configVersion ||
    isLaterPosition(a.directory, b.directory);
}
