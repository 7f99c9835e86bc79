import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { WeightStore } from "./weight_store.js";

let store: WeightStore;

beforeEach(async () => {
  // One request per 1,000 s, so that the store refuses a second request even if
  // the test runs slowly.
  store = new WeightStore({
    blobs: { "model-a": 100_000 },
    requestsPerS: 0.001,
    burst: 1,
  });
  await store.start();
});
afterEach(() => store.dispose());

describe("WeightStore", () => {
  it("serves a complete blob, then answers 429 with retry-after", async () => {
    const first = await fetch(`${store.url}/weights/model-a`);
    expect((await first.arrayBuffer()).byteLength).toBe(100_000);
    const second = await fetch(`${store.url}/weights/model-a`);
    expect(second.status).toBe(429);
    const retryAfterS = Number(second.headers.get("retry-after"));
    expect(retryAfterS).toBeGreaterThan(0);
    expect(retryAfterS).toBeLessThanOrEqual(1000);
  });

  it("answers 404 for an unknown blob", async () => {
    expect((await fetch(`${store.url}/weights/other`)).status).toBe(404);
  });
});
