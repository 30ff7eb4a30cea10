/** Copies of cache between engines over HTTP. */
import type {ProgramId} from '@marigoldpost/common';
import {request} from 'undici';

/**
 * Hands a program's cached blocks to another engine.
 * @param address - `http://<ip>:<port>` of the other engine.
 * @param program - The program.
 * @param blockHashes - First block first.
 */
export async function sendBlocks(
  address: string,
  program: ProgramId,
  blockHashes: readonly string[],
): Promise<void> {
  const url = `${address}/v1/programs/${encodeURIComponent(program)}/cache`;
  const body = JSON.stringify({blockHashes});
  const answer = await request(url, {method: 'POST', body});
  await answer.body.dump();
}
