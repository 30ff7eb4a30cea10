/** Splitting of long texts into pieces that fit one object each. */

const maxChunkBytes = 1_000_000;

/**
 * Splits a text into pieces; their concatenation is the text.
 * @param text - Text of any length.
 * @returns Pieces whose JSON form fits one object; none for an empty text.
 */
export function splitText(text: string): string[] {
  const pieces: string[] = [];
  const rest = text === '' ? [] : [text];
  for (let piece = rest.pop(); piece !== undefined; piece = rest.pop()) {
    if (Buffer.byteLength(JSON.stringify(piece)) <= maxChunkBytes) {
      pieces.push(piece);
      continue;
    }
    const middle = Math.floor(piece.length / 2);
    rest.push(piece.slice(middle), piece.slice(0, middle));
  }
  return pieces;
}
