/** HTTP server of the platform's VM list. */
import type {ServerResponse} from 'node:http';
import {isErrorOfKind} from '@marigoldpost/common';
import type {VmList} from '@marigoldpost/platform';
import {sendJson, type StandInRequest} from './stand_in_request.js';
import {StandInServer} from './stand_in_server.js';

/** VM list that the server exposes. */
export interface VmListServerOptions {
  /** List of VMs; also injects its faults. */
  readonly vmList: VmList;
}

/** Serves a VM list over HTTP; responds with 503 during an outage. */
export class VmListServer extends StandInServer {
  private constructor(private readonly vmList: VmList) {
    super();
  }

  /**
   * Creates a server that is not listening yet.
   * @param options - VM list to serve.
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
