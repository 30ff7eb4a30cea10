/** Reads the files named in command arguments. */
import {readFile} from 'node:fs/promises';
import {MarigoldpostError} from '@marigoldpost/common';

/**
 * Reads a UTF-8 file; throws `invalid_request` with its path when that fails.
 * @param path - Path of the file.
 */
export async function readText(path: string): Promise<string> {
  try {
    return await readFile(path, 'utf8');
  } catch (error) {
    const cause = error as Error;
    const message = `cannot read file "${path}"`;
    throw MarigoldpostError.create('invalid_request', message, {cause});
  }
}
