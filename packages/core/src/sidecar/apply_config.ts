/** Applies a new configuration or peer list to the sidecar. */
import type { Pool } from "../config/index.js";
import { CacheIndex } from "./cache_index.js";
import { refuseQueuedAttempt } from "./run_attempt.js";
import type { PoolPeer } from "./sidecar_event.js";
import {
  createQueue,
  loadBoundOptionsOf,
  type SidecarContext,
} from "./sidecar_state.js";

/**
 * Applies a configuration if its version is newer. Without a `pool` only the
 * version changes.
 */
export function applyConfig(
  ctx: SidecarContext,
  version: number,
  pool: Pool | undefined,
): void {
  const { state } = ctx;
  if (version <= state.configVersion) {
    return;
  }
  state.configVersion = version;
  ctx.effects.push({
    type: "log",
    event: "config_applied",
    fields: { version },
  });
  if (!pool) {
    return;
  }
  if (pool.cache_capacity_tokens !== state.pool.cache_capacity_tokens) {
    state.cacheIndex = new CacheIndex(pool.cache_capacity_tokens);
  }
  if (pool.max_queued_requests !== state.pool.max_queued_requests) {
    replaceQueue(ctx, pool);
  }
  state.pool = pool;
  state.loadBound.setOptions(loadBoundOptionsOf(pool));
}

/**
 * Replaces the queue by a new one with the capacity that `pool` sets, and
 * refuses queued attempts that do not fit.
 */
function replaceQueue(ctx: SidecarContext, pool: Pool): void {
  const { state } = ctx;
  const queuedAttempts = [...state.queue];
  state.queue = createQueue(state.options, pool);
  for (const attempt of queuedAttempts) {
    const droppedAttempt = state.queue.enqueue(attempt);
    if (droppedAttempt) {
      refuseQueuedAttempt(ctx, droppedAttempt, "queue_full");
    }
  }
}

export function applyPeers(
  ctx: SidecarContext,
  peers: readonly PoolPeer[],
): void {
  const { state } = ctx;
  const otherPeers = peers.filter((peer) =>
    peer.endpointId !== state.options.endpointId
  );
  state.peers = otherPeers;
  state.digestRing = [];
  state.loadTable.setListedPeers(otherPeers.map((peer) => peer.endpointId));
}
