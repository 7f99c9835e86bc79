import { BundleSchema } from "../config/bundle_schema.js";
import { manifestDigest, splitBundle } from "../config/config_sections.js";

/** Test digest, not cryptographic; the reducer only compares digests. */
export function testDigest(content: string): string {
  let hash = 7;
  for (let i = 0; i < content.length; i++) {
    hash = (Math.imul(hash, 31) + content.charCodeAt(i)) >>> 0;
  }
  return hash.toString(16).padStart(8, "0").repeat(3);
}

const contents = new Map<number, ReturnType<typeof makeContent>>();

function makeContent(weight: number) {
  const bundle = BundleSchema.parse({
    accounts: [
      { name: "wiki", key_hashes: ["a".repeat(64)], weight },
      { name: "grants", key_hashes: ["b".repeat(64)] },
    ],
    pools: [{ name: "chat", kind: "model", models: ["m"] }],
  });
  const { manifest, sections } = splitBundle(bundle, testDigest);
  const digest = manifestDigest(manifest, testDigest);
  return { bundle, manifest, sections, digest };
}

/**
 * Returns a test bundle with its manifest, sections and digest. Bundles of
 * different `weight` differ only in one account, and thus in one section.
 */
export function contentOf(weight: number): ReturnType<typeof makeContent> {
  const content = contents.get(weight) ?? makeContent(weight);
  contents.set(weight, content);
  return content;
}
