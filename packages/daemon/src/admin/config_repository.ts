import {
  type ActivePointer,
  ActivePointerSchema,
  type Bundle,
  ConfigKey,
  type ConfigVersion,
  ConfigVersionSchema,
  joinBundle,
  type Manifest,
  manifestDigest,
  type ObjectStore,
  type Operators,
  OperatorsSchema,
  type Proposal,
  ProposalSchema,
  type SectionedBundle,
  type StoredObject,
} from "@anvildeal/core";
import { z } from "zod";
import { AdminError } from "./admin_error.js";
import { sha256Hex } from "./sha256_hex.js";
import { writeAndResolve } from "./write_and_resolve.js";

/** Maximum total length of the cached sections, in characters. */
const MAX_CACHED_SECTION_CHARS = 32_000_000;
/**
 * Maximum number of concurrent section reads or writes; limits the load on the
 * store.
 */
const MAX_PARALLEL_CALLS = 8;
/** Enough for the bundle in force and one bundle under review. */
const MAX_CACHED_BUNDLES = 2;

/** A stored value and the object version that its next update must name. */
export interface Versioned<T> {
  readonly value: T;
  readonly objectVersion: number;
}

/**
 * Reads and writes the configuration objects. Values are checked against their
 * schema and digest; an invalid value is reported as an `AdminError` of code
 * `corrupt_store`.
 */
export class ConfigRepository {
  /** Sections by digest. They never change, so the cache is never stale. */
  readonly #sections = new Map<string, string>();
  #cachedSectionChars = 0;
  /**
   * Bundles by digest. Assembling a bundle with 9,700 accounts from its stored
   * sections blocks the event loop for over 100 ms, so the latest bundles are
   * cached.
   */
  readonly #bundles = new Map<string, Bundle>();

  constructor(readonly store: ObjectStore) {}

  readActive(): Promise<Versioned<ActivePointer> | undefined> {
    return this.#read(ConfigKey.active, ActivePointerSchema);
  }

  readVersion(version: number): Promise<Versioned<ConfigVersion> | undefined> {
    return this.#read(ConfigKey.version(version), ConfigVersionSchema);
  }

  /**
   * Resolves to the record of a version if the version was accepted, otherwise
   * to undefined.
   *
   * An interrupted first activation can leave a record whose number is below
   * the version in force. That record was not accepted, which can be seen from
   * the record of the next version: the next version is not based on it.
   */
  async readAccepted(
    version: number,
    inForceVersion: number,
  ): Promise<ConfigVersion | undefined> {
    if (version > inForceVersion) {
      return undefined;
    }
    if (version < inForceVersion) {
      const next = await this.readVersion(version + 1);
      if (next?.value.based_on_version !== version) {
        return undefined;
      }
    }
    return (await this.readVersion(version))?.value;
  }

  readOperators(): Promise<Versioned<Operators> | undefined> {
    return this.#read(ConfigKey.operators, OperatorsSchema);
  }

  readProposal(id: string): Promise<Versioned<Proposal> | undefined> {
    return this.#read(ConfigKey.proposal(id), ProposalSchema);
  }

  /** Proposals in the order of their keys, which is newest first. */
  async listProposals(limit: number, afterId?: string): Promise<Proposal[]> {
    const prefix = ConfigKey.proposalPrefix;
    const objects = await this.store.list(prefix, {
      limit,
      ...(afterId === undefined ? {} : { after: prefix + afterId }),
    });
    return objects.map((object) => parseStored(ProposalSchema, object).value);
  }

  /** The version in force; undefined before the first activation. */
  async readInForce(): Promise<ConfigVersion | undefined> {
    const active = await this.readActive();
    if (active === undefined) {
      return undefined;
    }
    const version = await this.readVersion(active.value.version);
    if (version?.value.digest !== active.value.digest) {
      throw corruptStoreError(
        ConfigKey.version(active.value.version),
        `does not have the digest that ${ConfigKey.active} names`,
      );
    }
    return version.value;
  }

  /**
   * Reads the bundle of a manifest; `digest` must be the digest of the
   * manifest.
   */
  async readBundle(manifest: Manifest, digest: string): Promise<Bundle> {
    requireManifestDigest(manifest, digest);
    const cached = this.#bundles.get(digest);
    if (cached !== undefined) {
      return cached;
    }
    const sections = await this.readSections(manifest, digest);
    try {
      const bundle = joinBundle(manifest, sections, sha256Hex) as Bundle;
      this.#cacheBundle(digest, bundle);
      return bundle;
    } catch (error) {
      throw corruptStoreError("section", String(error));
    }
  }

  /** Reads the sections of a manifest by digest and checks all digests. */
  async readSections(
    manifest: Manifest,
    digest: string,
  ): Promise<Record<string, string>> {
    requireManifestDigest(manifest, digest);
    const hashes = Object.values(manifest);
    const texts = await inParallel(hashes, (hash) => this.#readSection(hash));
    return Object.fromEntries(hashes.map((hash, i) => [hash, texts[i]]));
  }

  /** Writes the sections that the manifest in force does not contain. */
  async writeSections(
    sectioned: SectionedBundle,
    inForce: Manifest | undefined,
  ): Promise<void> {
    const storedHashes = new Set(Object.values(inForce ?? {}));
    const missing = Object.entries(sectioned.sections)
      .filter(([hash]) => !storedHashes.has(hash));
    await inParallel(missing, async ([hash, content]) => {
      await writeAndResolve(this.store, {
        key: ConfigKey.section(hash),
        value: content,
        ifVersion: undefined,
        isOwnWrite: (found) => found.value === content,
        adviceIfUnknown: "Nothing was proposed; propose again.",
      });
      this.#cacheSection(hash, content);
    });
  }

  #cacheBundle(digest: string, bundle: Bundle): void {
    this.#bundles.set(digest, bundle);
    const [oldest] = this.#bundles.keys();
    if (this.#bundles.size > MAX_CACHED_BUNDLES) {
      this.#bundles.delete(oldest);
    }
  }

  async #readSection(hash: string): Promise<string> {
    const cached = this.#sections.get(hash);
    if (cached !== undefined) {
      return cached;
    }
    const key = ConfigKey.section(hash);
    const section = await this.#read(key, z.string());
    if (section === undefined || sha256Hex(section.value) !== hash) {
      throw corruptStoreError(key, "is missing or does not match its digest");
    }
    this.#cacheSection(hash, section.value);
    return section.value;
  }

  #cacheSection(hash: string, content: string): void {
    if (this.#sections.has(hash)) {
      return;
    }
    this.#sections.set(hash, content);
    this.#cachedSectionChars += content.length;
    for (const [oldest, text] of this.#sections) {
      if (this.#cachedSectionChars <= MAX_CACHED_SECTION_CHARS) {
        return;
      }
      this.#sections.delete(oldest);
      this.#cachedSectionChars -= text.length;
    }
  }

  async #read<T>(
    key: string,
    schema: z.ZodType<T>,
  ): Promise<Versioned<T> | undefined> {
    const object = await this.store.get(key);
    return object === undefined ? undefined : parseStored(schema, object);
  }
}

/** Throws `AdminError` `corrupt_store` if the value does not match. */
export function parseStored<T>(
  schema: z.ZodType<T>,
  object: StoredObject,
): Versioned<T> {
  const parsed = schema.safeParse(object.value);
  if (!parsed.success) {
    throw corruptStoreError(object.key, z.prettifyError(parsed.error));
  }
  return { value: parsed.data, objectVersion: object.version };
}

function requireManifestDigest(manifest: Manifest, digest: string): void {
  if (manifestDigest(manifest, sha256Hex) !== digest) {
    throw corruptStoreError("manifest", `does not match its digest ${digest}`);
  }
}

function corruptStoreError(key: string, reason: string): AdminError {
  return new AdminError(
    500,
    "corrupt_store",
    `The stored object ${key} is not valid: ${reason}`,
  );
}

async function inParallel<T, R>(
  items: readonly T[],
  run: (item: T) => Promise<R>,
): Promise<R[]> {
  const results: R[] = [];
  for (let start = 0; start < items.length; start += MAX_PARALLEL_CALLS) {
    const batch = items.slice(start, start + MAX_PARALLEL_CALLS);
    results.push(...await Promise.all(batch.map(run)));
  }
  return results;
}
