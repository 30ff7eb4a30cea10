/**
 * Chained hashes of a prompt's blocks: the hash of a block covers its text and
 * every block before it. Engines and schedulers must compute equal hashes, byte
 * for byte.
 */
import type {ModelId} from '@marigoldpost/common';
import type {ChatMessage} from '@marigoldpost/targets';
import xxhash from 'xxhash-wasm';

/** Number of tokens in a cached block. */
export const blockTokens = 64;

/** Number of characters in a token; the stand-in engines split texts so. */
export const charactersPerToken = 4;

const blockCharacters = blockTokens * charactersPerToken;
const hasher = await xxhash();

/**
 * Renders the prompt of a chat, up to the start of the answer.
 * @param messages - Messages of the chat, oldest first.
 */
export function renderPrompt(messages: readonly ChatMessage[]): string {
  const parts = messages.map(({role, content}) => `<${role}>${content}\n`);
  return `${parts.join('')}<assistant>`;
}

/**
 * Gets the number of tokens of a text, rounded up.
 * @param text - Rendered text, see `renderPrompt`.
 */
export function countTokens(text: string): number {
  return Math.ceil(text.length / charactersPerToken);
}

/**
 * Gets the hash of each full block of a text, first block first.
 * @param model - Model that processes the text; part of each hash, since models
 *   do not share cached blocks.
 * @param text - Rendered text, see `renderPrompt`.
 */
export function getBlockHashes(model: ModelId, text: string): string[] {
  const hashes: string[] = [];
  let parent: string = model;
  let end = blockCharacters;
  while (end <= text.length) {
    const block = text.slice(end - blockCharacters, end);
    parent = hasher.h64ToString(`${parent}\n${block}`);
    hashes.push(parent);
    end += blockCharacters;
  }
  return hashes;
}
