/** Files that commands are given. */
import {readFile} from 'node:fs/promises';
import {MarigoldpostError} from '@marigoldpost/common';

/**
 * Reads a text file; throws `invalid_request` that names it.
 * @param path - Its path.
 */
export async function readText(path: string): Promise<string> {
  try {
    return await readFile(path, 'utf8');
  } catch (error) {
    const cause = error as Error;
    const message = `file "${path}" can't be read`;
    throw MarigoldpostError.create('invalid_request', message, {cause});
  }
}
