export * from './generated/inner.js'
