/** Exchanges load digests with the other sidecars of the pool. */
import type { EndpointLoad } from "../admission/index.js";
import type { Millis } from "../clock.js";
import type { MessageOf } from "../wire/index.js";
import type { PoolPeer } from "./sidecar_event.js";
import { loadTokensOf, type SidecarContext } from "./sidecar_state.js";

const DIGEST_INTERVAL_MS: Millis = 500;

/**
 * Longer interval while the pool is idle; shorter than the 5 s for which load
 * entries are fresh.
 */
const IDLE_DIGEST_INTERVAL_MS: Millis = 2000;

/**
 * Number of peers that are sent a load digest in each round. A digest of 32
 * entries takes 2 KB. Per peer and round, a node transfers four digests: the
 * one that it sends and its reply, and on average one that another node sends
 * and its reply. With three peers and a round every 0.5 s, this would be 48
 * KB/s, above the limit of 26 KB/s per node.
 */
const DIGEST_FAN_OUT = 1;

/** Sends load digests to the next peers of the ring if a round is due. */
export function exchangeDigests(ctx: SidecarContext): void {
  const { state, nowMs } = ctx;
  if (nowMs < state.nextDigestMs) {
    return;
  }
  const isPoolIdle = loadTokensOf(state) === 0 &&
    state.loadTable.summarize(nowMs).freshLoadTokens === 0;
  state.nextDigestMs = nowMs +
    (isPoolIdle ? IDLE_DIGEST_INTERVAL_MS : DIGEST_INTERVAL_MS);
  const peers = knownPeers(ctx);
  for (let i = 0; i < Math.min(DIGEST_FAN_OUT, peers.length); i++) {
    ctx.effects.push({
      type: "send_peer",
      peer: nextPeer(ctx, peers),
      message: composeDigest(ctx, false),
    });
  }
}

/**
 * Merges a load digest of another sidecar into the load table. Replies with
 * this sidecar's load digest, unless the received one is itself a reply.
 */
export function receiveDigest(
  ctx: SidecarContext,
  connectionId: string,
  digest: MessageOf<"digest">,
): void {
  ctx.state.loadTable.merge(digest.entries, ctx.nowMs);
  if (digest.configVersion > ctx.state.configVersion) {
    ctx.effects.push({
      type: "config_hint",
      configVersion: digest.configVersion,
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
  const localLoad: EndpointLoad = {
    endpointId: state.options.endpointId,
    incarnation: state.options.incarnation,
    loadTokens: loadTokensOf(state),
    state: state.endpointState,
    address: state.options.address,
  };
  return {
    type: "digest",
    reply,
    entries: state.loadTable.digest(localLoad, nowMs).map((entry) => ({
      ...entry,
      loadTokens: Math.round(entry.loadTokens),
      ageMs: Math.round(entry.ageMs),
    })),
    configVersion: state.configVersion,
  };
}

/**
 * Peers in the instance list, and peers that are known only from load digests.
 */
function knownPeers({ state, nowMs }: SidecarContext): PoolPeer[] {
  const peers = new Map(state.peers.map((peer) => [peer.endpointId, peer]));
  for (const peer of state.loadTable.leastLoaded(Infinity, nowMs)) {
    if (!peers.has(peer.endpointId)) {
      peers.set(peer.endpointId, peer);
    }
  }
  return [...peers.values()];
}

/**
 * Removes and returns the next peer of the ring. An empty ring is filled with
 * all peers in random order, so each peer has its turn once per round.
 */
function nextPeer(
  { state }: SidecarContext,
  peers: readonly PoolPeer[],
): PoolPeer {
  if (state.digestRing.length === 0) {
    state.digestRing = [...peers];
    for (let i = state.digestRing.length - 1; i > 0; i--) {
      const j = state.randomBelow(i + 1);
      [state.digestRing[i], state.digestRing[j]] = [
        state.digestRing[j],
        state.digestRing[i],
      ];
    }
  }
  return state.digestRing.pop() as PoolPeer;
}
