import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../manual_clock_fixture.js";
import { type KnownContent, PeerCatchUp } from "./peer_catch_up.js";

const TRANSFER_MS = 500;

function content(configVersion: number, revision = 10, epoch = 1) {
  return { configVersion, directory: { epoch, revision } };
}

describe("PeerCatchUp", () => {
  let clock: ManualClock;
  let catchUp: PeerCatchUp;

  beforeEach(() => {
    clock = new ManualClock();
    catchUp = new PeerCatchUp(clock);
  });

  const shouldQuery = (peer: KnownContent, own: KnownContent) =>
    catchUp.shouldQuery("p", peer, own, TRANSFER_MS);

  /** For a router that cannot serve without an answer. */
  const shouldQueryAtOnce = (
    peer: KnownContent,
    own: KnownContent,
    nodeId = "p",
  ) => catchUp.shouldQuery(nodeId, peer, own, undefined);

  describe("a large configuration that changes often", () => {
    // Without the delay, a router on a slow link reads each version twice: from
    // the directory and from a peer whose link is as slow.
    it("is left to the directory for the time that it usually takes", () => {
      expect(shouldQuery(content(2), content(1))).toBe(false);
      clock.timeMs += TRANSFER_MS - 1;
      expect(shouldQuery(content(2), content(1))).toBe(false);
      clock.timeMs += 1;
      expect(shouldQuery(content(2), content(1))).toBe(true);
    });

    it("is left to the directory again after the router has caught up", () => {
      expect(shouldQuery(content(2), content(1))).toBe(false);
      clock.timeMs += 10 * TRANSFER_MS;
      expect(shouldQuery(content(3), content(2))).toBe(false);
      clock.timeMs += TRANSFER_MS;
      expect(shouldQuery(content(3), content(2))).toBe(true);
    });

    it("is requested from one peer at a time", () => {
      shouldQueryAtOnce(content(2), content(1));
      expect(shouldQueryAtOnce(content(2), content(1), "q")).toBe(false);
      catchUp.endQuery("q");
      expect(shouldQueryAtOnce(content(2), content(1), "q")).toBe(false);
      catchUp.endQuery("p");
      expect(shouldQueryAtOnce(content(2), content(1), "q")).toBe(true);
    });
  });

  it("queries at once if the router cannot serve yet", () => {
    expect(shouldQueryAtOnce(content(1), content(0, 0, 0))).toBe(true);
  });

  // Guards against a router that waits for a silent peer until its configuration
  // is older than the platform allows.
  it("queries one more peer if the first one is slow to answer", () => {
    shouldQueryAtOnce(content(2), content(1), "p");
    clock.timeMs += 600;
    expect(shouldQueryAtOnce(content(2), content(1), "p")).toBe(false);
    expect(shouldQueryAtOnce(content(2), content(1), "q")).toBe(true);
    clock.timeMs += 600;
    expect(shouldQueryAtOnce(content(2), content(1), "r")).toBe(false);
    catchUp.endQuery("q");
    expect(shouldQueryAtOnce(content(2), content(1), "r")).toBe(true);
  });

  it("queries another peer if the first one does not answer", () => {
    shouldQueryAtOnce(content(2), content(1));
    clock.timeMs += 2000;
    expect(shouldQueryAtOnce(content(2), content(1), "q")).toBe(true);
  });

  it("queries a peer that read a restored directory, not one that did not", () => {
    const own = content(1, 10, 1);
    expect(shouldQueryAtOnce(content(1, 4, 2), own)).toBe(true);
    catchUp.endQuery("p");
    expect(shouldQueryAtOnce(content(1, 90, 0), own)).toBe(false);
  });
});
