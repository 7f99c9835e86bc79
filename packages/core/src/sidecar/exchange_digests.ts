import type { EndpointLoad } from "../admission/index.js";
import type { Millis } from "../clock.js";
import type { MessageOf } from "../wire/index.js";
import type { PoolPeer } from "./sidecar_event.js";
import { loadTokensOf, type SidecarContext } from "./sidecar_state.js";

const DIGEST_INTERVAL_MS: Millis = 500;

/** An idle pool has nothing to balance; entries stay fresh for 5 s. */
const IDLE_DIGEST_INTERVAL_MS: Millis = 2000;

/**
 * Peers that get a digest in each round. A digest of 32 entries takes 2 KB and
 * each exchange is paid for by both sides in both directions, so that three
 * peers would cost 48 KB/s of the 26 KB/s that a node may spend.
 */
const DIGEST_FAN_OUT = 1;

/** Sends digests to the next peers of the ring when a round is due. */
export function exchangeDigests(ctx: SidecarContext): void {
  const { state, nowMs } = ctx;
  if (nowMs < state.nextDigestMs) {
    return;
  }
  const idle = loadTokensOf(state) === 0 &&
    state.table.summarize(nowMs).freshLoadTokens === 0;
  state.nextDigestMs = nowMs +
    (idle ? IDLE_DIGEST_INTERVAL_MS : DIGEST_INTERVAL_MS);
  const peers = knownPeers(ctx);
  for (let i = 0; i < Math.min(DIGEST_FAN_OUT, peers.length); i++) {
    ctx.effects.push({
      type: "send_peer",
      peer: nextPeer(ctx, peers),
      message: composeDigest(ctx, false),
    });
  }
}

/** Merges a digest and answers it with the own one. */
export function receiveDigest(
  ctx: SidecarContext,
  connectionId: string,
  digest: MessageOf<"digest">,
): void {
  ctx.state.table.merge(digest.entries, ctx.nowMs);
  if (digest.configVersion > ctx.state.configVersion) {
    ctx.effects.push({
      type: "config_hint",
      version: digest.configVersion,
      connectionId,
    });
  }
  if (!digest.reply) {
    ctx.effects.push({
      type: "send",
      connectionId,
      message: composeDigest(ctx, true),
    });
  }
}

function composeDigest(
  { state, nowMs }: SidecarContext,
  reply: boolean,
): MessageOf<"digest"> {
  const own: EndpointLoad = {
    endpointId: state.options.endpointId,
    incarnation: state.options.incarnation,
    loadTokens: loadTokensOf(state),
    state: state.mode,
    address: state.options.address,
  };
  return {
    type: "digest",
    reply,
    entries: state.table.digest(own, nowMs).map((entry) => ({
      ...entry,
      loadTokens: Math.round(entry.loadTokens),
      ageMs: Math.round(entry.ageMs),
    })),
    configVersion: state.configVersion,
  };
}

/** Listed peers, and those that joined since and were heard of by a digest. */
function knownPeers({ state, nowMs }: SidecarContext): PoolPeer[] {
  const peers = new Map(state.peers.map((peer) => [peer.endpointId, peer]));
  for (const peer of state.table.leastLoaded(Infinity, nowMs)) {
    if (!peers.has(peer.endpointId)) {
      peers.set(peer.endpointId, peer);
    }
  }
  return [...peers.values()];
}

/** A shuffled ring reaches every peer before it reaches one twice. */
function nextPeer(
  { state }: SidecarContext,
  peers: readonly PoolPeer[],
): PoolPeer {
  if (state.ring.length === 0) {
    state.ring = [...peers];
    for (let i = state.ring.length - 1; i > 0; i--) {
      const j = state.randomBelow(i + 1);
      [state.ring[i], state.ring[j]] = [state.ring[j], state.ring[i]];
    }
  }
  return state.ring.pop() as PoolPeer;
}
