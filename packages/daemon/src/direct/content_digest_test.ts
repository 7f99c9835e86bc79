import { describe, expect, it } from "vitest";
import { lazyContentDigest } from "./content_digest.js";

const REQUEST = { method: "POST", url: "/a?b" };

describe("lazyContentDigest", () => {
  const digestOf = (request: typeof REQUEST, body: string) =>
    lazyContentDigest(request, Buffer.from(body))();

  it("is the same for requests with the same content", () => {
    expect(digestOf({ ...REQUEST }, "x")).toBe(digestOf(REQUEST, "x"));
    expect(digestOf(REQUEST, "x")).toMatch(/^[0-9a-f]{32}$/);
  });

  // Guards against a request that is taken for another one.
  it.each([
    ["method", { ...REQUEST, method: "PUT" }, "x"],
    ["path", { ...REQUEST, url: "/a" }, "x"],
    ["body", REQUEST, "y"],
    ["end of the path", { ...REQUEST, url: "/a?b\nx" }, ""],
  ])("differs with the %s", (_name, request, body) => {
    expect(digestOf(request, body)).not.toBe(digestOf(REQUEST, "x"));
  });
});
