/** The inner listener alone, with one method that returns its parameters. */
import {z} from 'zod';
import {InnerServer} from '../rpc/http_server.js';
import {RpcRouter} from '../rpc/rpc.js';
import {CLUSTER_SECRET} from './deployment.js';

/** Listens on the address given as the first argument. */
export function main(argv: readonly string[]): void {
  const router = new RpcRouter();
  router.register('echo', z.unknown(), params => params);
  const server = new InnerServer({
    address: argv[2] ?? '',
    clusterSecret: CLUSTER_SECRET,
    router,
  });
  void server.start();
}
