/** Client library for callers of the router. */
export {createClient} from './client.js';
export type {
  Client,
  ClientOptions,
  ChatAnswer,
  ChatCall,
  ServiceAnswer,
  ServiceRequest,
} from './client.js';
