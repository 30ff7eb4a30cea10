/** Copies cache blocks between engines over HTTP. */
import type {ProgramId} from '@marigoldpost/common';
import {request} from 'undici';

/**
 * Copies a program's cached blocks to another engine. Ignores the status of the
 * response.
 * @param address - `http://<ip>:<port>` of the receiving engine.
 * @param program - Program that the blocks belong to.
 * @param blockHashes - Chained hashes, first block first.
 */
export async function sendBlocks(
  address: string,
  program: ProgramId,
  blockHashes: readonly string[],
): Promise<void> {
  const url = `${address}/v1/programs/${encodeURIComponent(program)}/cache`;
  const body = JSON.stringify({blockHashes});
  const response = await request(url, {method: 'POST', body});
  await response.body.dump();
}
