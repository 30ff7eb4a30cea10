/** Writes server-sent events with backpressure. */
import type {ServerResponse} from 'node:http';
import {type Clock, MarigoldpostError} from '@marigoldpost/common';

/** Time after which a caller that reads nothing is disconnected. */
const maxStallMs = 60_000;

/** Writes an event stream to one caller. */
export class SseWriter {
  private constructor(
    private readonly response: ServerResponse,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates a writer and sends the head of the response.
   * @param response - Response whose other headers have been set.
   * @param clock - Clock of the stall timeout.
   */
  static create(response: ServerResponse, clock: Clock): SseWriter {
    response.writeHead(200, {
      'Content-Type': 'text/event-stream; charset=utf-8',
      'Cache-Control': 'no-cache',
    });
    return new SseWriter(response, clock);
  }

  /**
   * Writes an event and waits until the write buffer has drained. Throws
   * `cancelled` if the caller disconnects or stops reading.
   * @param data - One line of text.
   * @param id - Event id, which a caller that resumes sends as `Last-Event-ID`.
   */
  async write(data: string, id?: number): Promise<void> {
    const idLine = id === undefined ? '' : `id: ${id}\n`;
    await this.send(`${idLine}data: ${data}\n\n`);
  }

  /**
   * Writes an error event and ends the stream without `[DONE]`.
   * @param body - JSON body of the error.
   */
  writeError(body: object): void {
    if (this.response.destroyed) return;
    this.response.end(`event: error\ndata: ${JSON.stringify(body)}\n\n`);
  }

  /** Ends a complete stream with `[DONE]`. */
  async end(): Promise<void> {
    await this.write('[DONE]');
    this.response.end();
  }

  private async send(text: string): Promise<void> {
    if (this.response.destroyed) throw createCancelled('caller disconnected');
    if (!this.response.write(text)) await this.waitForDrain();
  }

  private waitForDrain(): Promise<void> {
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
        reject(createCancelled('caller disconnected'));
      };
      const timer = this.clock.setTimer(maxStallMs, () => {
        stop();
        response.destroy();
        reject(createCancelled(`caller read no data for ${maxStallMs} ms`));
      });
      response.once('drain', onDrain);
      response.once('close', onClose);
    });
  }
}

function createCancelled(message: string): MarigoldpostError {
  return MarigoldpostError.create('cancelled', message);
}
