/** Writes server-sent events at the pace of the reader. */
import type {ServerResponse} from 'node:http';
import {type Clock, MarigoldpostError} from '@marigoldpost/common';

/** Longest time that a reader may take nothing, in milliseconds. */
const maxStallMs = 60_000;

/** Stream of events to one caller. */
export class SseWriter {
  private constructor(
    private readonly response: ServerResponse,
    private readonly clock: Clock,
  ) {}

  /**
   * Begins a stream.
   * @param response - The answer; its other headers are set already.
   * @param clock - Times how long the reader takes nothing.
   */
  static create(response: ServerResponse, clock: Clock): SseWriter {
    response.writeHead(200, {
      'Content-Type': 'text/event-stream; charset=utf-8',
      'Cache-Control': 'no-cache',
    });
    return new SseWriter(response, clock);
  }

  /**
   * Writes an event; waits while the reader is behind.
   * @param data - One line of text.
   * @param id - What `Last-Event-ID` will name.
   */
  async write(data: string, id?: number): Promise<void> {
    const idLine = id === undefined ? '' : `id: ${id}\n`;
    await this.send(`${idLine}data: ${data}\n\n`);
  }

  /**
   * Writes an error event and ends the stream without its usual end.
   * @param body - The error's body.
   */
  writeError(body: object): void {
    if (this.response.destroyed) return;
    this.response.end(`event: error\ndata: ${JSON.stringify(body)}\n\n`);
  }

  /** Ends a complete stream. */
  async end(): Promise<void> {
    await this.write('[DONE]');
    this.response.end();
  }

  private async send(text: string): Promise<void> {
    if (this.response.destroyed) throw createGone('the caller went away');
    if (!this.response.write(text)) await this.waitForReader();
  }

  private waitForReader(): Promise<void> {
    const {response} = this;
    return new Promise((resolve, reject) => {
      const stop = () => {
        timer.cancel();
        response.off('drain', onDrain);
        response.off('close', onClose);
      };
      const onDrain = () => {
        stop();
        resolve();
      };
      const onClose = () => {
        stop();
        reject(createGone('the caller went away'));
      };
      const timer = this.clock.setTimer(maxStallMs, () => {
        stop();
        response.destroy();
        reject(createGone(`the caller read nothing for ${maxStallMs} ms`));
      });
      response.once('drain', onDrain);
      response.once('close', onClose);
    });
  }
}

function createGone(message: string): MarigoldpostError {
  return MarigoldpostError.create('cancelled', message);
}
