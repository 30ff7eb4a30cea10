/** Finds ports for daemons whose peers need them before the start. */
import {type AddressInfo, createServer} from 'node:net';

const host = '127.0.0.1';

/** Gets an unused TCP port of the loopback interface. */
export function findFreePort(): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const {port} = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}
