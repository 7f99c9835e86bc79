import { beforeEach, describe, expect, it } from "vitest";
import type { Millis } from "../clock.js";
import type { DirectEffect } from "./direct_event.js";
import type { DirectState } from "./direct_state.js";
import {
  ACCEPTED_HEAD,
  configReceived,
  endpointsListed,
  poolCall,
  poolConfig,
  poolEndpoint,
  poolState,
} from "./pool_fixture.js";
import { reduceDirect } from "./reduce_direct.js";

const GRACE_MS: Millis = 3000;
const STOPPED_AT_MS: Millis = 100_000;

describe("a router that stops", () => {
  let state: DirectState;
  let nextKey: number;

  beforeEach(() => {
    nextKey = 1;
    state = poolState({ stopGraceMs: GRACE_MS });
  });

  function serve(): void {
    reduceDirect(
      state,
      configReceived(poolConfig({ resumable: true, maxAttempts: 2 })),
    );
    reduceDirect(state, endpointsListed(0, [poolEndpoint("e0")]));
  }

  function receive(nowMs: Millis, deadlineMs: Millis): DirectEffect[] {
    return reduceDirect(state, {
      type: "call_received",
      nowMs,
      key: nextKey++,
      call: poolCall({ callId: "call", deadlineMs }),
    });
  }

  /** Answers a stream that takes this long. */
  function answer(nowMs: Millis, tookMs: Millis): void {
    const key = nextKey;
    receive(nowMs, 15_000);
    const fields = { key, attemptNumber: 1 };
    reduceDirect(state, {
      type: "attempt_head",
      nowMs,
      ...fields,
      head: { ...ACCEPTED_HEAD, callId: "call" },
    });
    reduceDirect(state, {
      type: "attempt_ended",
      nowMs: nowMs + tookMs,
      ...fields,
    });
  }

  const stop = () =>
    reduceDirect(state, { type: "stopping", nowMs: STOPPED_AT_MS });

  const refusalsOf = (effects: readonly DirectEffect[]) =>
    effects.flatMap((effect) =>
      effect.type === "refuse" ? [effect.refusal] : []
    );

  const startsAttempt = (effects: readonly DirectEffect[]) =>
    effects.some(({ type }) => type === "start_attempt");

  // Guards against requests that are cut at the end of a short grace time.
  it.each([
    [0, 2500, true],
    [0, 3000, false],
    [1500, 1000, true],
    [1500, 1500, false],
  ])(
    "after %i ms with a limit of %i ms accepts a request: %s",
    (elapsedMs, deadlineMs, isAccepted) => {
      serve();
      stop();
      const effects = receive(STOPPED_AT_MS + elapsedMs, deadlineMs);
      expect(startsAttempt(effects)).toBe(isAccepted);
      expect(refusalsOf(effects)).toMatchObject(
        isAccepted ? [] : [{ status: 503, outcome: "not-run" }],
      );
    },
  );

  // Guards against streams that are refused only because they might take long.
  it.each([[400, true], [2500, false]])(
    "if streams take %i ms accepts one with a long limit: %s",
    (tookMs, isAccepted) => {
      serve();
      for (let i = 0; i < 20; i++) {
        answer(1000 * i, tookMs);
      }
      stop();
      expect(startsAttempt(receive(STOPPED_AT_MS + 500, 15_000)))
        .toBe(isAccepted);
    },
  );

  // Guards against calls that wait for a configuration until the process ends.
  it("refuses calls that wait for its start", () => {
    expect(refusalsOf(receive(STOPPED_AT_MS - 10, 4000))).toEqual([]);
    expect(refusalsOf(stop())).toMatchObject([
      { status: 503, reason: "stopping", outcome: "not-run" },
    ]);
  });

  it("says of a request that may have run that its outcome is unknown", () => {
    serve();
    receive(STOPPED_AT_MS - 10, 15_000);
    stop();
    const effects = reduceDirect(state, {
      type: "stop_time_over",
      nowMs: STOPPED_AT_MS + GRACE_MS,
    });
    expect(refusalsOf(effects)).toMatchObject([
      { status: 502, reason: "stopping", outcome: "unknown" },
    ]);
  });
});
