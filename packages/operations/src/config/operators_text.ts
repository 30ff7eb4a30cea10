/** The object that holds the operators' text. */
import {getDigest, MarigoldpostError} from '@marigoldpost/common';
import type {OperatorsConfig} from '@marigoldpost/settings';
import * as z from 'zod';

/** Key of the object. */
export const operatorsTextKey = 'config/operators-text';

/** Start of the keys of former texts. */
export const auditPrefix = 'audit/';

// Versions sort as texts up to a thousand million changes.
const versionDigits = 12;

const recordSchema = z.object({
  version: z.number().int().positive(),
  text: z.string(),
  author: z.string(),
  why: z.string(),
  atMs: z.number(),
  previousHash: z.string(),
  changeId: z.string(),
});

/** One accepted text, and who changed it why. */
export type OperatorsText = Readonly<z.infer<typeof recordSchema>>;

/**
 * Checks a text; throws `config_invalid` with every problem found.
 * @param text - The operators' text.
 */
export type ParseOperatorsText = (text: string) => OperatorsConfig;

/**
 * Gets the key under which a text is kept once a newer one replaces it.
 * @param version - Its version.
 */
export function getAuditKey(version: number): string {
  return `${auditPrefix}${String(version).padStart(versionDigits, '0')}`;
}

/**
 * Gets an accepted text from its object; throws `config_invalid`.
 * @param objectJson - Value of the object.
 */
export function parseOperatorsText(objectJson: string): OperatorsText {
  try {
    return recordSchema.parse(JSON.parse(objectJson));
  } catch (error) {
    const cause = error instanceof Error ? error : undefined;
    const message = `object "${operatorsTextKey}" has an unknown form`;
    throw MarigoldpostError.create('config_invalid', message, {cause});
  }
}

/**
 * Gets the hash by which daemons compare texts.
 * @param text - The operators' text.
 */
export function getTextHash(text: string): string {
  return getDigest(text);
}
