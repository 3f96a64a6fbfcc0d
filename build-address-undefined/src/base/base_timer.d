build-address-undefined/src/base/base_timer.o: src/base/base_timer.c \
 src/base/base.h
src/base/base.h:
