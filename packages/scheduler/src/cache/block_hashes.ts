/**
 * Chained hashes of a prompt's blocks. Engines and schedulers must agree on
 * them byte for byte: a block's hash covers its text and every block before it.
 */
import type {ModelId} from '@marigoldpost/common';
import type {ChatMessage} from '@marigoldpost/targets';
import xxhash from 'xxhash-wasm';

/** Tokens of one cached block. */
export const blockTokens = 64;

/** Characters of one token, as the stand-in engines cut texts. */
export const charactersPerToken = 4;

const blockCharacters = blockTokens * charactersPerToken;
const hasher = await xxhash();

/**
 * Gets the text that a model sees for a chat, up to the start of its answer.
 * @param messages - The chat, oldest message first.
 */
export function renderPrompt(messages: readonly ChatMessage[]): string {
  const parts = messages.map(({role, content}) => `<${role}>${content}\n`);
  return `${parts.join('')}<assistant>`;
}

/**
 * Gets the number of tokens of a text.
 * @param text - Rendered text.
 */
export function countTokens(text: string): number {
  return Math.ceil(text.length / charactersPerToken);
}

/**
 * Gets the hash of each full block of a text, first block first.
 * @param model - Model that reads the text; caches of models are apart.
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
