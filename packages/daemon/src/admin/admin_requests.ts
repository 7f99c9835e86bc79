import { DigestSchema } from "@anvildeal/core";
import { z } from "zod";

/** Maximum size of a request body without a bundle. */
export const MAX_SMALL_BODY_BYTES = 64 * 1024;
/** Maximum number of entries in one page of a list. */
const MAX_PAGE_ENTRIES = 200;
const DEFAULT_PAGE_ENTRIES = 20;

const note = z.string().max(2000).default("");

/** The files of a bundle, converted from TOML to JSON. */
const files = z.array(z.strictObject({
  file: z.string().min(1).max(200),
  bundle: z.unknown().describe("Tables as in docs/configuration.md"),
})).min(1).max(100);

export const ProposeRequestSchema = z.strictObject({
  files,
  note,
  based_on_version: z.int().nonnegative().optional(),
});

export const DiffRequestSchema = z.strictObject({ files });

export const DigestRequestSchema = z.strictObject({ digest: DigestSchema });

export const RevertRequestSchema = z.strictObject({
  version: z.int().positive(),
  note,
});

export const EmptyRequestSchema = z.strictObject({});

const limit = z.coerce.number().int().min(1).max(MAX_PAGE_ENTRIES).default(
  DEFAULT_PAGE_ENTRIES,
);

export const ProposalListQuerySchema = z.strictObject({
  limit,
  after: z.string().max(100).optional(),
});

export const HistoryQuerySchema = z.strictObject({
  limit,
  before: z.coerce.number().int().positive().optional(),
});

export const NoQuerySchema = z.strictObject({});
