/** The platform's VM list over HTTP. */
import type {ServerResponse} from 'node:http';
import {isErrorOfKind} from '@marigoldpost/common';
import type {VmList} from '@marigoldpost/platform';
import {sendJson, type StandInRequest} from './stand_in_request.js';
import {StandInServer} from './stand_in_server.js';

/** Options of the server. */
export interface VmListServerOptions {
  /** Holds the VMs, and the faults that are switched on. */
  readonly vmList: VmList;
}

/** Serves a VM list. */
export class VmListServer extends StandInServer {
  private constructor(private readonly vmList: VmList) {
    super();
  }

  /**
   * Creates a server that does not listen yet.
   * @param options - The list.
   */
  static create(options: VmListServerOptions): VmListServer {
    return new VmListServer(options.vmList);
  }

  protected override async handle(
    _request: StandInRequest,
    response: ServerResponse,
  ): Promise<void> {
    try {
      sendJson(response, 200, {vms: await this.vmList.getVms()});
    } catch (error) {
      if (!isErrorOfKind(error, 'store_unavailable')) throw error;
      sendJson(response, 503);
    }
  }
}
