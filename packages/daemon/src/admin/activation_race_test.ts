import type { ActivePointer, ConfigVersion } from "@anvildeal/core";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { describe, expect, it } from "vitest";
import { AdminFixture } from "./admin_fixture.js";
import type { StoreFault } from "./memory_object_store.js";

const SEEDS = Array.from({ length: 24 }, (_, index) => index + 1);
const ROUNDS = 4;
const OPERATORS_PER_ROUND = 4;
const FAULTS: readonly StoreFault[] = [
  "unavailable",
  "answer_lost",
  "write_lost",
  "applied_late",
];
/**
 * Wait after a round. It is longer than a late write is delayed, and longer
 * than resolving a lost response takes.
 */
const SETTLE_MS = 150;

/**
 * A value that was written to `config/active` and the version record that the
 * value names.
 */
interface Acceptance {
  readonly pointer: ActivePointer;
  readonly record: ConfigVersion;
}

/**
 * Operators at several routers activate different proposals at once, while the
 * store delays and loses calls. Guards against a pointer whose digest differs
 * from the digest of the record that it names, a version that decreases, and a
 * response that contradicts what was stored.
 */
describe("concurrent activations with faults", () => {
  for (const seed of SEEDS) {
    it.concurrent(`keep a linear history (seed ${seed})`, async () => {
      const admin = await new AdminFixture().start();
      try {
        await runRace(admin, seed);
      } finally {
        await admin.dispose();
      }
    });
  }
});

async function runRace(admin: AdminFixture, seed: number): Promise<void> {
  const generator = xoroshiro128plus(seed);
  const random = (below: number) => uniformInt(generator, 0, below - 1);
  const acceptances = recordAcceptances(admin);
  const urls = [admin.url, await admin.startServer()];
  const label = `seed ${seed}`;
  for (let round = 0; round < ROUNDS; round++) {
    admin.store.fault = () => undefined;
    const proposals: { id: string; digest: string }[] = [];
    for (let i = 0; i < OPERATORS_PER_ROUND; i++) {
      proposals.push(await admin.proposeAndSignOff(1 + round * 10 + i));
    }
    admin.store.fault = async () => {
      for (let turns = random(6); turns > 0; turns--) {
        await new Promise((resolve) => setImmediate(resolve));
      }
      admin.clock.timeMs += random(6000);
      return random(8) === 0 ? FAULTS[random(FAULTS.length)] : undefined;
    };
    const answers = await Promise.all(
      proposals.map((proposal, i) => admin.activate(proposal, urls[i % 2])),
    );
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    const inForce = new Set(
      acceptances.map(({ record }) => record.proposal_id),
    );
    answers.forEach(({ status, body }, i) => {
      const outcome = `${label}: ${status} ${JSON.stringify(body)}`;
      expect([200, 409, 503, 504], outcome).toContain(status);
      if (status !== 504) {
        expect(inForce.has(proposals[i].id), outcome).toBe(status === 200);
      }
    });
  }
  admin.store.fault = () => undefined;
  admin.clock.timeMs += 60_000;
  const last = await admin.activate(await admin.proposeAndSignOff(99));
  expect(last.status, `${label}: ${JSON.stringify(last.body)}`).toBe(200);
  expectLinearHistory(admin, acceptances, label);
  const { body } = await admin.call("vera", "GET", "/history");
  const records = acceptances.map(({ record }) => record).toReversed();
  expect(body.versions, label).toEqual(records);
}

function recordAcceptances(admin: AdminFixture): Acceptance[] {
  const acceptances: Acceptance[] = [];
  admin.store.onWriteApplied = (key) => {
    if (key !== "config/active") {
      return;
    }
    const pointer = admin.store.peek(key)?.value as ActivePointer;
    if (acceptances.at(-1)?.pointer.version === pointer.version) {
      return;
    }
    const record = admin.store.peek(`config/versions/${pointer.version}`)
      ?.value as ConfigVersion;
    acceptances.push({ pointer, record });
  };
  return acceptances;
}

function expectLinearHistory(
  admin: AdminFixture,
  acceptances: readonly Acceptance[],
  label: string,
): void {
  acceptances.forEach(({ pointer, record }, index) => {
    const { version, digest } = pointer;
    const before = acceptances[index - 1]?.pointer.version ?? 0;
    expect(record.digest, label).toBe(digest);
    expect(record.based_on_version, label).toBe(before);
    expect(version, label).toBeGreaterThan(before);
    if (index > 0) {
      expect(version, label).toBe(before + 1);
    }
    expect(admin.store.peek(`config/versions/${version}`)?.value, label)
      .toEqual(record);
  });
}
