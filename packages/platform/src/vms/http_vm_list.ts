/** HTTP client of the VM list. */
import {
  type Clock,
  type DataCentreId,
  MarigoldpostError,
  toId,
} from '@marigoldpost/common';
import * as z from 'zod';
import {HttpChannel} from '../http/http_channel.js';
import {type Vm, VmList} from './vm_list.js';

/** Address and timeout of the client. */
export interface HttpVmListOptions {
  /** `http://<ip>:<port>` of the VM list. */
  readonly address: string;
  /** Timeout of one call. */
  readonly timeoutMs: number;
  /** Clock for the timeouts; the system clock by default. */
  readonly clock?: Clock;
}

const okStatus = 200;
const vmsSchema = z.object({
  vms: z.array(
    z.object({
      name: z.string(),
      dataCentre: z.string().transform((text) => toId<DataCentreId>(text)),
      address: z.string(),
      state: z.enum(['live', 'leaving', 'gone']),
    }),
  ),
});

/** VM list client that reads the list over HTTP. */
export class HttpVmList extends VmList {
  private constructor(private readonly channel: HttpChannel) {
    super();
  }

  /**
   * Creates a client.
   * @param options - Address and timeout.
   */
  static create(options: HttpVmListOptions): HttpVmList {
    return new HttpVmList(HttpChannel.create(options));
  }

  override async getVms(): Promise<readonly Vm[]> {
    const outcome = await this.channel.send({method: 'GET', path: '/vms'});
    if (outcome.kind === 'failure') throw toUnavailable(outcome.cause);
    if (outcome.status !== okStatus) {
      throw toUnavailable(new Error(`responded with status ${outcome.status}`));
    }
    return parseVms(outcome.body);
  }

  /** Closes the connections once the calls in flight have finished. */
  async close(): Promise<void> {
    await this.channel.close();
  }
}

function parseVms(body: string): readonly Vm[] {
  try {
    return vmsSchema.parse(JSON.parse(body)).vms;
  } catch (error) {
    throw toUnavailable(error instanceof Error ? error : new Error(body));
  }
}

function toUnavailable(cause: Error): MarigoldpostError {
  const message = 'no usable response of the VM list';
  return MarigoldpostError.create('store_unavailable', message, {cause});
}
