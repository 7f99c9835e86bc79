import type { OwnLoad } from "../admission/index.js";
import type { Millis } from "../clock.js";
import type { MessageOf } from "../wire/index.js";
import type { PoolPeer } from "./sidecar_event.js";
import { loadTokensOf, type SidecarContext } from "./sidecar_state.js";

const DIGEST_INTERVAL_MS: Millis = 500;

/** An idle pool has nothing to balance; entries stay fresh for 5 s. */
const IDLE_DIGEST_INTERVAL_MS: Millis = 2000;

/** Peers that get a digest in each round. */
const DIGEST_FAN_OUT = 3;

/** Sends digests to the next peers of the ring when a round is due. */
export function exchangeDigests(ctx: SidecarContext): void {
  const { state, nowMs } = ctx;
  if (nowMs < state.nextDigestMs || state.peers.length === 0) {
    return;
  }
  const idle = loadTokensOf(state) === 0 &&
    state.table.summarize(nowMs).freshLoadTokens === 0;
  state.nextDigestMs = nowMs +
    (idle ? IDLE_DIGEST_INTERVAL_MS : DIGEST_INTERVAL_MS);
  for (let i = 0; i < Math.min(DIGEST_FAN_OUT, state.peers.length); i++) {
    const peer = nextPeer(ctx);
    ctx.effects.push({
      type: "send_peer",
      peer,
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
  const own: OwnLoad = {
    endpointId: state.options.endpointId,
    incarnation: state.options.incarnation,
    loadTokens: loadTokensOf(state),
    state: state.mode,
    address: state.options.address,
  };
  return {
    type: "digest",
    reply,
    entries: state.table.digest(own, nowMs),
    configVersion: state.configVersion,
  };
}

/** A shuffled ring reaches every peer before it reaches one twice. */
function nextPeer({ state }: SidecarContext): PoolPeer {
  if (state.ring.length === 0) {
    state.ring = [...state.peers];
    for (let i = state.ring.length - 1; i > 0; i--) {
      const j = state.randomBelow(i + 1);
      [state.ring[i], state.ring[j]] = [state.ring[j], state.ring[i]];
    }
  }
  return state.ring.pop() as PoolPeer;
}
