build-address-undefined/src/admit/admit_queue.o: src/admit/admit_queue.c \
 src/admit/admit.h src/base/base.h
src/admit/admit.h:
src/base/base.h:
