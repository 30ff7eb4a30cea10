/** The object that holds the operators' configuration. */
import {getDigest, MarigoldpostError} from '@marigoldpost/common';
import type {OperatorsConfig} from '@marigoldpost/settings';
import * as z from 'zod';

/** Key of the object that holds the newest record. */
export const configKey = 'config/operators-text';

/** Prefix of the keys of replaced records. */
export const auditPrefix = 'audit/';

// Zero-padded keys sort by version for up to a thousand million changes.
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

/** One accepted version of the configuration, with author and reason. */
export type ConfigRecord = Readonly<z.infer<typeof recordSchema>>;

/**
 * Parses a configuration; throws `config_invalid` with every problem found.
 * @param text - Text of the operators' configuration.
 */
export type ParseConfig = (text: string) => OperatorsConfig;

/**
 * Gets the key under which a record is stored when a newer one replaces it.
 * @param version - Version of the replaced record.
 */
export function getAuditKey(version: number): string {
  return `${auditPrefix}${String(version).padStart(versionDigits, '0')}`;
}

/**
 * Parses the value of an object that holds a record; throws `config_invalid`.
 * @param objectJson - Value of the object, as JSON.
 */
export function parseConfigRecord(objectJson: string): ConfigRecord {
  try {
    return recordSchema.parse(JSON.parse(objectJson));
  } catch (error) {
    const cause = error instanceof Error ? error : undefined;
    const message = `object "${configKey}" is not a valid configuration record`;
    throw MarigoldpostError.create('config_invalid', message, {cause});
  }
}

/**
 * Gets the hash by which daemons compare configurations.
 * @param text - Text of the operators' configuration.
 */
export function getConfigHash(text: string): string {
  return getDigest(text);
}
