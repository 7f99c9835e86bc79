/** Keys and schemas of the stored objects that configuration sync reads. */
import { z } from "zod";

/** Key of the pointer to the version that operators activated last. */
export const ACTIVE_KEY = "config/active";

/** Value of `config/active`. */
export const ActivePointerSchema = z.object({
  version: z.int().positive(),
  /** Digest of the manifest, as computed by `manifestDigest`. */
  digest: z.string(),
});
export type ActivePointer = z.infer<typeof ActivePointerSchema>;

/** Value of `config/versions/<n>`, without its audit fields. */
export const VersionObjectSchema = z.object({
  version: z.int().positive(),
  manifest: z.record(z.string(), z.string()),
});

export function versionKey(version: number): string {
  return `config/versions/${version}`;
}

/** Key of a section; its value is the content as a JSON string. */
export function sectionKey(digest: string): string {
  return `config/sections/${digest}`;
}
