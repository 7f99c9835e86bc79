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

/**
 * If the latest query has not been answered for this long, one more peer is
 * queried: the first one may be paused or cut off.
 */
const HEDGE_AFTER_MS: Millis = 600;

/** Maximum number of queries that are pending at a time. */
const MAX_PENDING_QUERIES = 2;

/** How much of the configuration and of the endpoints a router knows. */
export interface KnownContent {
  readonly configVersion: number;
  readonly directory: DirectoryPosition;
}

/**
 * Decides when a router that is behind its peers queries one of them. Answers
 * can be large, so a router first gives the directory the time that a change
 * usually takes, and queries a second peer only if the first is slow to answer.
 */
export class PeerCatchUp {
  readonly #clock: Clock;
  /** Content of the first peer that was seen ahead; undefined if none is. */
  #behind:
    | { readonly sinceMs: Millis; readonly target: KnownContent }
    | undefined;
  /** When each peer was queried whose answer is pending, the latest last. */
  readonly #pending = new Map<string, Millis>();

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
    if (!this.#mayQuery(nodeId, nowMs)) {
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

  /** Whether a peer was seen that knows more than this router does by now. */
  isBehind(own: KnownContent): boolean {
    return this.#behind !== undefined && isAhead(this.#behind.target, own);
  }

  /** Records that a query was sent to a peer. */
  recordQuery(nodeId: string): void {
    this.#pending.delete(nodeId);
    this.#pending.set(nodeId, this.#clock.nowMs());
  }

  /** Records that a peer sent content or was disconnected. */
  endQuery(nodeId: string): void {
    this.#pending.delete(nodeId);
  }

  #mayQuery(nodeId: string, nowMs: Millis): boolean {
    for (const [id, sinceMs] of this.#pending) {
      if (nowMs - sinceMs >= QUERY_TIMEOUT_MS) {
        this.#pending.delete(id);
      }
    }
    const latestMs = [...this.#pending.values()].at(-1);
    return latestMs === undefined ||
      !this.#pending.has(nodeId) &&
        this.#pending.size < MAX_PENDING_QUERIES &&
        nowMs - latestMs >= HEDGE_AFTER_MS;
  }
}

function isAhead(a: KnownContent, b: KnownContent): boolean {
  return a.configVersion > b.configVersion ||
    isLaterPosition(a.directory, b.directory);
}
