import { type Bundle, BundleSchema } from "./bundle_schema.js";
import { ConfigError } from "./config_error.js";
import { MAX_OBJECT_BYTES } from "./config_objects.js";

/**
 * Number of sections among which the accounts are distributed. A change to one
 * of 9,700 accounts then transfers about 150 accounts instead of all of them.
 */
export const ACCOUNT_SECTION_COUNT = 64;

/** Computes the digest that names a section, in hexadecimal digits. */
export type DigestFunction = (content: string) => string;

/** Digests of the content by section name, such as `pools`. */
export type Manifest = Readonly<Record<string, string>>;

export interface SectionedBundle {
  readonly manifest: Manifest;
  /** Content by digest. */
  readonly sections: Readonly<Record<string, string>>;
}

/**
 * Splits a bundle into immutable sections addressed by their digest.
 *
 * Throws {@link ConfigError} for sections larger than `MAX_OBJECT_BYTES`.
 */
export function splitBundle(
  bundle: Bundle,
  digest: DigestFunction,
): SectionedBundle {
  const contents = new Map<string, unknown[]>();
  const addToSection = (section: string, item: unknown) => {
    const items = contents.get(section) ?? [];
    items.push(item);
    contents.set(section, items);
  };
  for (const account of sortByName(bundle.accounts)) {
    addToSection(accountSectionName(account.name), account);
  }
  contents.set("pools", sortByName(bundle.pools));
  contents.set("services", sortByName(bundle.services));
  contents.set("objectives", sortByName(bundle.objectives));
  // Without it, bundles have the sections and the digest that they always had.
  if (bundle.evacuated_failure_domains.length > 0) {
    contents.set(
      "evacuated_failure_domains",
      [...bundle.evacuated_failure_domains].sort(),
    );
  }
  const manifest: Record<string, string> = {};
  const sections: Record<string, string> = {};
  for (const [name, items] of [...contents].sort()) {
    const content = JSON.stringify(items);
    const hash = digest(content);
    manifest[name] = hash;
    sections[hash] = content;
  }
  rejectOversizedSections(manifest, sections);
  return { manifest, sections };
}

function rejectOversizedSections(
  manifest: Manifest,
  sections: Readonly<Record<string, string>>,
): void {
  const encoder = new TextEncoder();
  const issues = Object.entries(manifest).flatMap(([name, hash]) => {
    // Sections are stored as JSON strings, so escape characters add to the
    // size.
    const stored = JSON.stringify(sections[hash]);
    const bytes = encoder.encode(stored).length;
    return bytes <= MAX_OBJECT_BYTES ? [] : [{
      file: "(bundle)",
      key: name,
      found: `${bytes} bytes`,
      allowed: `a section must be at most ${MAX_OBJECT_BYTES} bytes`,
    }];
  });
  if (issues.length > 0) {
    throw new ConfigError(issues);
  }
}

/**
 * Reassembles a bundle. Returns undefined if a section is missing.
 *
 * Throws `RangeError` if a section does not match its digest, and `SyntaxError`
 * or a zod error if the content is not valid JSON or does not match the schema.
 */
export function joinBundle(
  manifest: Manifest,
  sections: Readonly<Record<string, string>>,
  digest: DigestFunction,
): Bundle | undefined {
  const itemsByKind: Record<string, unknown[]> = {
    accounts: [],
    pools: [],
    services: [],
    objectives: [],
    evacuated_failure_domains: [],
  };
  for (const [name, hash] of Object.entries(manifest)) {
    const content = sections[hash];
    if (content === undefined) {
      return undefined;
    }
    if (digest(content) !== hash) {
      throw new RangeError(`Section ${name} does not match its digest`);
    }
    const kind = name.split("/")[0];
    itemsByKind[kind]?.push(...JSON.parse(content) as unknown[]);
  }
  return BundleSchema.parse(itemsByKind);
}

/** Digest of a whole bundle: the digest of its manifest. */
export function manifestDigest(
  manifest: Manifest,
  digest: DigestFunction,
): string {
  return digest(JSON.stringify(Object.entries(manifest).sort()));
}

function accountSectionName(accountName: string): string {
  // FNV-1a; the distribution needs no cryptographic strength.
  let hash = 0x811c9dc5;
  for (let i = 0; i < accountName.length; i++) {
    hash = Math.imul(hash ^ accountName.charCodeAt(i), 0x01000193);
  }
  const section = (hash >>> 0) % ACCOUNT_SECTION_COUNT;
  return `accounts/${String(section).padStart(2, "0")}`;
}

function sortByName<T extends { readonly name: string }>(items: T[]): T[] {
  return [...items].sort((a, b) => a.name < b.name ? -1 : 1);
}
