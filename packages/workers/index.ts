export * from './roster.js';
