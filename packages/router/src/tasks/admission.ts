/** Admission: checks a request against the file set and the customer's rate. */
import type {FileSet, RequestClass} from '@buckthornbeam/config';
import {createTokenBucket} from '@buckthornbeam/decisions';
import type {TokenBucket} from '@buckthornbeam/decisions';
import {RouterError} from '@buckthornbeam/shared';
import type {Clock} from '@buckthornbeam/shared';
import type {ChatRequest} from './chat_request.js';

/** A request that was let in. */
export interface AdmittedRequest {
  request: ChatRequest;
  customerId: string;
  requestClass: RequestClass;
  /** Estimated work, prompt and answer, in tokens. */
  estimatedTokens: number;
}

/** Options of {@link createAdmission}. */
export interface AdmissionOptions {
  clock: Clock;
  getFileSet: () => FileSet;
}

/** Lets requests in or throws a {@link RouterError} with outcome `not_run`. */
export interface Admission {
  getCustomerId(apiKeyDigest: string): string;
  accept(customerId: string, request: ChatRequest): AdmittedRequest;
}

/** Characters of a prompt that make one token, for estimates. */
const CHARACTERS_PER_TOKEN = 4;

function estimateTokens(request: ChatRequest, maximumOutput: number): number {
  const characters = JSON.stringify(request.body['messages']).length;
  const prompt = Math.ceil(characters / CHARACTERS_PER_TOKEN);
  const output = Math.min(
    request.maximumTokens ?? maximumOutput,
    maximumOutput,
  );
  return prompt + output;
}

/** Bounds the answer by the class, so that no request runs on without end. */
function applyOutputLimit(
  request: ChatRequest,
  requestClass: RequestClass,
): ChatRequest {
  const maximumTokens = Math.min(
    request.maximumTokens ?? requestClass.maximumOutputTokens,
    requestClass.maximumOutputTokens,
  );
  const body = {
    ...request.body,
    max_tokens: maximumTokens,
    max_completion_tokens: undefined,
  };
  return {...request, body, maximumTokens};
}

/** Creates the admission of one instance. */
export function createAdmission(options: AdmissionOptions): Admission {
  const {clock, getFileSet} = options;
  const buckets = new Map<string, TokenBucket>();

  function getClass(name: string): RequestClass {
    const found = getFileSet().classes.get(name);
    if (!found) {
      throw new RouterError('unknown_class', `no class "${name}"`);
    }
    return found;
  }

  function takeCustomerTokens(customerId: string, tokens: number): void {
    const customer = getFileSet().customers.get(customerId)!;
    const bucket = buckets.get(customerId) ?? createTokenBucket(customer);
    buckets.set(customerId, bucket);
    const waitMs = bucket.take(tokens, clock.now());
    if (waitMs > 0) {
      throw new RouterError(
        'customer_limit',
        `${customerId} is over its rate`,
        {retryAfterMs: waitMs},
      );
    }
  }

  return {
    getCustomerId: apiKeyDigest => {
      const customer = getFileSet().customersByKeyDigest.get(apiKeyDigest);
      if (!customer) {
        throw new RouterError('unknown_customer', 'the API key is not known');
      }
      return customer.id;
    },
    accept: (customerId, request) => {
      const requestClass = getClass(request.className);
      if (!getFileSet().models.has(request.model)) {
        throw new RouterError('unknown_model', `no model "${request.model}"`);
      }
      const estimatedTokens = estimateTokens(
        request,
        requestClass.maximumOutputTokens,
      );
      takeCustomerTokens(customerId, estimatedTokens);
      return {
        request: applyOutputLimit(request, requestClass),
        customerId,
        requestClass,
        estimatedTokens,
      };
    },
  };
}
