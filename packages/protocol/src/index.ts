/**
 * Messages and services of the protocol between instances. The code under
 * `gen/` is generated from `proto/` by `npm run generate` and committed.
 */
export * from './gen/buckthornbeam/v1/dispatch_pb.js';
export * from './gen/buckthornbeam/v1/peer_pb.js';
export * from './gen/buckthornbeam/v1/ticket_pb.js';
